package org.hemlockrack.daemon.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.PrintWriter;
import java.io.StringWriter;
import java.time.Instant;
import java.util.Locale;
import java.util.logging.ConsoleHandler;
import java.util.logging.Formatter;
import java.util.logging.Level;
import java.util.logging.LogRecord;
import java.util.logging.Logger;

/** Formats of the lines in the process log. */
public enum LogFormat {
    TEXT {
        @Override
        String format(LogRecord line, String stack) {
            Instant at = Instant.ofEpochMilli(line.getMillis());
            return at + " " + line.getLevel() + " " + line.getMessage() + "\n" + stack;
        }
    },
    JSON {
        @Override
        String format(LogRecord line, String stack) {
            ObjectNode json = JsonNodeFactory.instance.objectNode();
            json.put("time", Instant.ofEpochMilli(line.getMillis()).toString());
            json.put("level", line.getLevel().getName());
            json.put("message", line.getMessage());
            if (!stack.isEmpty()) {
                json.put("cause", stack);
            }
            return json + "\n";
        }
    };

    /** A strong reference; java.util.logging holds loggers weakly and would lose the level. */
    private static final Logger THRIFT_LOGGER = Logger.getLogger("org.apache.thrift");

    abstract String format(LogRecord line, String stack);

    /**
     * Returns the format with the name that is used in the settings.
     *
     * @param name {@code text} or {@code json}, in any case
     * @return the format
     * @throws IllegalArgumentException if there is no such format
     */
    public static LogFormat of(String name) {
        return valueOf(name.toUpperCase(Locale.ROOT));
    }

    /** Configures the root logger to write all logs to standard error in this format. */
    public void install() {
        Logger root = Logger.getLogger("");
        for (var handler : root.getHandlers()) {
            root.removeHandler(handler);
        }
        ConsoleHandler console = new ConsoleHandler();
        console.setFormatter(new LineFormatter(this));
        console.setLevel(Level.ALL);
        root.addHandler(console);
        root.setLevel(Level.INFO);
        // libthrift logs a stack trace for each connection that any client opens and drops.
        THRIFT_LOGGER.setLevel(Level.OFF);
    }

    private static final class LineFormatter extends Formatter {
        private final LogFormat mFormat;

        LineFormatter(LogFormat format) {
            mFormat = format;
        }

        @Override
        public String format(LogRecord line) {
            return mFormat.format(line, stackOf(line));
        }

        private static String stackOf(LogRecord line) {
            if (line.getThrown() == null) {
                return "";
            }
            StringWriter text = new StringWriter();
            line.getThrown().printStackTrace(new PrintWriter(text));
            return text.toString();
        }
    }
}
