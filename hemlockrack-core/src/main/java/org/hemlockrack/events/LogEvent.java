package org.hemlockrack.events;

/** The numbered log events; {@code docs/log-events.md} lists what each means. */
public enum LogEvent {
    DAEMON_STARTED(1001),
    DAEMON_STOPPING(1002),
    DAEMON_STOPPED(1003);

    private final int mNumber;

    LogEvent(int number) {
        mNumber = number;
    }

    /** Returns the number that stands in log lines. */
    public int number() {
        return mNumber;
    }

    /** Returns the prefix of a log line, such as {@code HR1001 DAEMON_STARTED}. */
    public String tag() {
        return "HR" + mNumber + " " + name();
    }
}
