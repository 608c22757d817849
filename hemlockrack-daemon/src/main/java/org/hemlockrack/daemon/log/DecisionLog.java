package org.hemlockrack.daemon.log;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.base.Ascii;
import java.io.FileDescriptor;
import java.io.FileOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.concurrent.ArrayBlockingQueue;
import java.util.concurrent.BlockingQueue;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import java.util.concurrent.atomic.LongAdder;
import org.jspecify.annotations.Nullable;

/**
 * Writes a JSON line for each decision to standard output. Lines are queued in a bounded buffer and
 * written by a separate thread, so that a stalled reader never delays a request. When the buffer is
 * full, lines are dropped, and their number is logged. Safe for use from any thread.
 */
public final class DecisionLog implements AutoCloseable {
    /** Capacity of the buffer; at 300 bytes a line this is about 600 KB. */
    private static final int MAX_QUEUED_LINES = 2_048;

    /** One in this many ordinary requests is logged, see {@link #shouldSample()}. */
    private static final long SAMPLE_INTERVAL = 16;

    /** Shortest time between two lines about the same event, see {@link #isDue}. */
    private static final long MIN_LINE_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Ids and causes can come from a request, whose fields can be large. */
    private static final int MAX_VALUE_CHARS = 1_000;

    private static final long POLL_MILLIS = 200;

    /** An entry of the queue that is no line; it wakes the writer when the log is closed. */
    private static final String WAKE_UP = "";

    private static final long CLOSE_TIMEOUT_MILLIS = 300;
    private static final int BATCH_BYTES = 16 << 10;

    private final String mInstance;
    private final OutputStream mOut;
    private final BlockingQueue<String> mLines = new ArrayBlockingQueue<>(MAX_QUEUED_LINES);
    private final LongAdder mDropped = new LongAdder();
    private final LongAdder mUnsampled = new LongAdder();
    private final AtomicLong mSampleCandidates = new AtomicLong();
    private final Map<String, Long> mLastLineNanos = new ConcurrentHashMap<>();
    private final Thread mWriter;
    private volatile boolean mClosed;

    private DecisionLog(String instance, OutputStream out) {
        mInstance = instance;
        mOut = out;
        mWriter = new Thread(this::writeLines, "decision-log");
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
     * @param out receives the lines; its writes may block
     * @return the log
     */
    public static DecisionLog open(String instance, OutputStream out) {
        DecisionLog log = new DecisionLog(instance, out);
        log.mWriter.start();
        return log;
    }

    /** A line being built. Not thread-safe. */
    public final class Line {
        private final ObjectNode mJson = JsonNodeFactory.instance.objectNode();

        private Line(String event) {
            mJson.put("time_ms", System.currentTimeMillis());
            mJson.put("instance", mInstance);
            mJson.put("event", event);
        }

        /** Adds a text field; null is omitted. */
        public Line put(String name, @Nullable String value) {
            if (value != null) {
                mJson.put(name, Ascii.truncate(value, MAX_VALUE_CHARS, "..."));
            }
            return this;
        }

        /** Adds a number field. */
        public Line put(String name, long value) {
            mJson.put(name, value);
            return this;
        }

        /** Queues the line for the writer thread, or drops it if the buffer is full. */
        public void write() {
            if (!mLines.offer(mJson.toString())) {
                mDropped.increment();
            }
        }
    }

    /**
     * Starts a line about the state of this instance.
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

    /**
     * Returns whether to log an ordinary request, one that succeeded at the first attempt and in
     * time. Must be called once for each of them, because it counts the requests.
     */
    public boolean shouldSample() {
        if (mSampleCandidates.getAndIncrement() % SAMPLE_INTERVAL == 0) {
            return true;
        }
        mUnsampled.increment();
        return false;
    }

    /**
     * Returns whether a line about an event is due that may occur for each request: at most ten a
     * second are. A line that is due counts as written.
     *
     * @param event name of the event
     */
    public boolean isDue(String event) {
        long nowNanos = System.nanoTime();
        Long lastNanos = mLastLineNanos.get(event);
        if (lastNanos == null) {
            return mLastLineNanos.putIfAbsent(event, nowNanos) == null;
        }
        return nowNanos - lastNanos >= MIN_LINE_PERIOD_NANOS
                && mLastLineNanos.replace(event, lastNanos, nowNanos);
    }

    /** Returns the number of lines that were dropped because the buffer was full. */
    public long droppedCount() {
        return mDropped.sum();
    }

    /** Returns the number of ordinary requests that were not logged because of sampling. */
    public long unsampledCount() {
        return mUnsampled.sum();
    }

    private void writeLines() {
        long reported = 0;
        StringBuilder batch = new StringBuilder();
        try {
            while (!mClosed || !mLines.isEmpty()) {
                String line = mLines.poll(POLL_MILLIS, TimeUnit.MILLISECONDS);
                while (line != null && batch.length() < BATCH_BYTES) {
                    append(batch, line);
                    line = mLines.poll();
                }
                if (line != null) {
                    append(batch, line);
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
            // The output is closed; the instance continues without this log.
            mClosed = true;
        }
    }

    private static void append(StringBuilder batch, String line) {
        if (!line.equals(WAKE_UP)) {
            batch.append(line).append('\n');
        }
    }

    @Override
    public void close() {
        mClosed = true;
        mLines.offer(WAKE_UP);
        try {
            mWriter.join(CLOSE_TIMEOUT_MILLIS);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }
}
