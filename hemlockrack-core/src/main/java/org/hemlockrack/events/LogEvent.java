package org.hemlockrack.events;

import java.util.logging.Level;

/** The log events; {@code docs/log-events.md} describes each by its number. */
public enum LogEvent {
    DAEMON_STARTED(1001, Level.INFO),
    DAEMON_STOPPING(1002, Level.INFO),
    DAEMON_STOPPED(1003, Level.INFO),
    INTERNAL_FAULT(1004, Level.SEVERE),
    DRAIN_TIMED_OUT(1005, Level.WARNING),
    CONNECTIONS_EVICTED(1006, Level.INFO),
    REQUEST_FAILED(1101, Level.WARNING),
    BACKEND_OWNED(1201, Level.INFO),
    BACKEND_RELEASED(1202, Level.INFO),
    BACKEND_TURNED_COLD(1203, Level.WARNING),
    PEER_UNREACHABLE(1301, Level.INFO),
    PEER_MESSAGE_REJECTED(1304, Level.WARNING),
    PEER_SILENT(1305, Level.INFO),
    PEER_ANSWERING(1306, Level.INFO),
    ZONE_UNREACHABLE(1302, Level.WARNING),
    ZONE_REACHABLE(1303, Level.INFO),
    TLS_OFF(1310, Level.WARNING),
    TLS_KEYS_RELOADED(1311, Level.INFO),
    TLS_KEYS_REFUSED(1312, Level.WARNING),
    LEADER_CHANGED(1401, Level.INFO),
    STORAGE_REFUSED(1402, Level.SEVERE),
    REPLICA_REJOINED(1403, Level.WARNING),
    REPLICA_SUSPENDED(1404, Level.SEVERE),
    REPLICA_RESUMED(1405, Level.INFO),
    SNAPSHOT_FAILED(1406, Level.WARNING),
    REPLICA_STARTED(1407, Level.INFO),
    LEADER_MISSING(1408, Level.WARNING),
    MEMBER_BEHIND(1409, Level.INFO),
    CONFIG_IN_FORCE(1501, Level.INFO),
    CONFIG_UNKNOWN(1502, Level.WARNING),
    ROLLOUT_STAGE_CHANGED(1601, Level.INFO),
    ROLLOUT_ROLLED_BACK(1602, Level.WARNING),
    BURN_FILE_REFUSED(1701, Level.WARNING);

    private final int mNumber;
    private final Level mLevel;

    LogEvent(int number, Level level) {
        mNumber = number;
        mLevel = level;
    }

    /** Returns the number that identifies the event in log lines. */
    public int number() {
        return mNumber;
    }

    /** Returns the level of the event's lines. */
    public Level level() {
        return mLevel;
    }

    /** Returns the prefix of a log line, such as {@code HR1001 DAEMON_STARTED}. */
    public String tag() {
        return "HR" + mNumber + " " + name();
    }
}
