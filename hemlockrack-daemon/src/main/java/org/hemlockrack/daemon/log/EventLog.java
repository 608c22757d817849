package org.hemlockrack.daemon.log;

import com.google.common.flogger.FluentLogger;
import java.util.EnumMap;
import java.util.Map;
import org.hemlockrack.events.LogEvent;
import org.jspecify.annotations.Nullable;

/**
 * Writes events with their event numbers to the process log and limits the rate of lines of each
 * event. Safe for use from any thread.
 */
public final class EventLog {
    /**
     * Maximum number of lines of one event in one window. Lines above it are suppressed; their
     * number is appended to the first line of a later window.
     */
    private static final int MAX_LINES_PER_WINDOW = 20;

    private static final long WINDOW_NANOS = 10_000_000_000L;

    private static final FluentLogger LOGGER = FluentLogger.forEnclosingClass();

    private final Map<LogEvent, Window> mWindows = new EnumMap<>(LogEvent.class);

    private static final class Window {
        private long mStartNanos;
        private int mLines;
        private long mSuppressed;
    }

    private EventLog() {}

    /** Creates a log with empty windows. */
    public static EventLog create() {
        return new EventLog();
    }

    /**
     * Logs an event at its level.
     *
     * @param event the event
     * @param format text with the placeholders of {@link String#format}
     * @param args the arguments
     */
    public void log(LogEvent event, String format, Object... args) {
        write(event, null, String.format(format, args));
    }

    /**
     * Logs an event with its cause.
     *
     * @param event the event
     * @param cause the cause
     * @param format text with the placeholders of {@link String#format}
     * @param args the arguments
     */
    public void log(LogEvent event, Throwable cause, String format, Object... args) {
        write(event, cause, String.format(format, args));
    }

    private void write(LogEvent event, @Nullable Throwable cause, String text) {
        long suppressed = acquireLine(event, System.nanoTime());
        if (suppressed < 0) {
            return;
        }
        String suffix = suppressed == 0 ? "" : " (" + suppressed + " lines were suppressed)";
        LOGGER.at(event.level()).withCause(cause).log("%s %s%s", event.tag(), text, suffix);
    }

    /**
     * Decides whether a line may be written.
     *
     * @return the number of lines suppressed in the previous window if this line starts a new one,
     *     else 0; -1 if this line must be suppressed
     */
    private synchronized long acquireLine(LogEvent event, long nowNanos) {
        Window window = mWindows.computeIfAbsent(event, key -> new Window());
        long suppressed = 0;
        if (window.mLines == 0 || nowNanos - window.mStartNanos > WINDOW_NANOS) {
            suppressed = window.mSuppressed;
            window.mStartNanos = nowNanos;
            window.mLines = 0;
            window.mSuppressed = 0;
        }
        if (window.mLines >= MAX_LINES_PER_WINDOW) {
            window.mSuppressed++;
            return -1;
        }
        window.mLines++;
        return suppressed;
    }
}
