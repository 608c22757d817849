package review;

import java.io.IOException;
import java.io.PrintWriter;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Locale;

/** Writes a line with the elapsed time for everything that was sent, answered or run. */
final class EventRecord implements AutoCloseable {
    private final PrintWriter mOut;
    private final long mStartNanos = System.nanoTime();

    EventRecord(Path file) throws IOException {
        mOut = new PrintWriter(Files.newBufferedWriter(file));
    }

    double seconds() {
        return (System.nanoTime() - mStartNanos) / 1e9;
    }

    synchronized void line(String format, Object... args) {
        String text = String.format(Locale.ROOT, format, args);
        mOut.println(String.format(Locale.ROOT, "%8.3f %s", seconds(), text));
        mOut.flush();
    }

    /** Writes a line to the record and to standard output. */
    void say(String format, Object... args) {
        line(format, args);
        System.out.println(String.format(Locale.ROOT, format, args));
    }

    @Override
    public synchronized void close() {
        mOut.close();
    }
}
