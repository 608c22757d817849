package org.hemlockrack.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** History of the faults that were injected into each process. Thread-safe. */
final class FaultHistory {
    /**
     * Guarantees with a time limit are only checked for processes that have had no fault for this
     * time, so that they can reconnect first.
     */
    static final long RECONNECT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Map<String, List<Span>> mSpans = new HashMap<>();

    /** Time span of a fault; it has no end until {@link #end} is called. */
    static final class Span {
        private final long mStartNanos;
        private volatile long mEndNanos = Long.MAX_VALUE;

        private Span(long startNanos) {
            mStartNanos = startNanos;
        }

        /** Records that the fault has ended. */
        void end() {
            mEndNanos = System.nanoTime();
        }
    }

    /** Records that a fault of a process starts now. */
    synchronized Span begin(String process) {
        Span span = new Span(System.nanoTime());
        mSpans.computeIfAbsent(process, key -> new ArrayList<>()).add(span);
        return span;
    }

    /**
     * Returns whether a process had no fault during a time span and in the {@link #RECONNECT_NANOS}
     * before it.
     */
    synchronized boolean isFaultFree(String process, long fromNanos, long toNanos) {
        for (Span span : mSpans.getOrDefault(process, List.of())) {
            boolean endedBefore =
                    span.mEndNanos != Long.MAX_VALUE
                            && span.mEndNanos < fromNanos - RECONNECT_NANOS;
            if (!endedBefore && span.mStartNanos <= toNanos) {
                return false;
            }
        }
        return true;
    }
}
