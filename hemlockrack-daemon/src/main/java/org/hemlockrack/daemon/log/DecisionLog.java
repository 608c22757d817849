package org.hemlockrack.daemon.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * One JSON line for each decision, on standard output. Lines wait in a bounded buffer and a thread
 * of its own writes them, so a reader that stalls never delays a request; lines that find no room
 * are counted and the count is logged.
 */
public final class DecisionLog implements AutoCloseable {
    /** Lines that may wait; at 300 bytes a line this is about 600 KB. */
    private static final int MAX_WAITING = 2_048;

    /** One in this many requests that ended as usual gets a line. */
    private static final long SAMPLE = 16;

    private static final long POLL_MILLIS = 200;
    private static final long CLOSE_MILLIS = 300;
    private static final int BATCH_BYTES = 16 << 10;

    private final String mInstance;
    private final OutputStream mOut;
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(MAX_WAITING);
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mUnsampled = new LongAdder();
    private final AtomicLong mServed = new AtomicLong();
    private final Thread mWriter;
    private volatile boolean mClosed;

    private DecisionLog(String instance, OutputStream out) {
        mInstance = instance;
        mOut = out;
        mWriter = new Thread(this::write, "decision-log");
        mWriter.setDaemon(true);
    }

    /**
     * Opens the log on standard output.
     *
     * @param instance name of this instance
     * @return the log
     */
    public static DecisionLog open(String instance) {
        return open(instance, new FileOutputStream(FileDescriptor.out));
    }

    /**
     * Opens a log.
     *
     * @param instance name of this instance
     * @param out where lines go; may block
     * @return the log
     */
    public static DecisionLog open(String instance, OutputStream out) {
        DecisionLog log = new DecisionLog(instance, out);
        log.mWriter.start();
        return log;
    }

    /** One line under construction. */
    public final class Line {
        private final ObjectNode mJson = JsonNodeFactory.instance.objectNode();

        private Line(String event) {
            mJson.put("time_ms", System.currentTimeMillis());
            mJson.put("instance", mInstance);
            mJson.put("event", event);
        }

        /** Adds a text; null is left out. */
        public Line put(String name, @Nullable String value) {
            if (value != null) {
                mJson.put(name, value);
            }
            return this;
        }

        /** Adds a number. */
        public Line put(String name, long value) {
            mJson.put(name, value);
            return this;
        }

        /** Hands the line to the writer. */
        public void write() {
            if (!mLines.offer(mJson.toString())) {
                mDropped.increment();
            }
        }
    }

    /**
     * Starts a line about what this instance believes.
     *
     * @param event name of the event
     * @return the line
     */
    public Line instanceEvent(String event) {
        return new Line(event);
    }

    /**
     * Starts a line about a request.
     *
     * @param event name of the event
     * @param attemptId id of the caller's attempt
     * @return the line
     */
    public Line requestEvent(String event, String attemptId) {
        return new Line(event).put("request", attemptId);
    }

    /** Returns whether a request that ended as usual gets a line. */
    public boolean shouldSample() {
        if (mServed.getAndIncrement() % SAMPLE == 0) {
            return true;
        }
        mUnsampled.increment();
        return false;
    }

    /** Returns the number of lines that found no room. */
    public long droppedCount() {
        return mDropped.sum();
    }

    /** Returns the number of usual requests that got no line. */
    public long unsampledCount() {
        return mUnsampled.sum();
    }

    private void write() {
        long reported = 0;
        StringBuilder batch = new StringBuilder();
        try {
            while (!mClosed || !mLines.isEmpty()) {
                String line = mLines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                while (line != null && batch.length() < BATCH_BYTES) {
                    batch.append(line).append('\n');
                    line = mLines.poll();
                }
                if (line != null) {
                    batch.append(line).append('\n');
                }
                if (batch.length() > 0) {
                    mOut.write(batch.toString().getBytes(StandardCharsets.UTF_8));
                    mOut.flush();
                    batch.setLength(0);
                }
                long dropped = mDropped.sum();
                if (dropped > reported) {
                    instanceEvent("log_lines_dropped").put("lines", dropped - reported).write();
                    reported = dropped;
                }
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        } catch (IOException e) {
            // Nobody reads the output any more; requests go on without a log.
            mClosed = true;
        }
    }

    @Override
    public void close() {
        mClosed = true;
        try {
            mWriter.join(CLOSE_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
