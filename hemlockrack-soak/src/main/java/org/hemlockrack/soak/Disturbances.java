package org.hemlockrack.soak;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/** When which process was killed, stopped or cut off. Safe for use from any thread. */
final class Disturbances {
    /** Promises with a time bound hold for processes that were left alone for so long. */
    static final long CONTACT_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Map<String, List<Span>> mSpans = new HashMap<>();

    /** A disturbance; it lasts until {@code mEndNanos}. */
    static final class Span {
        private final long mStartNanos;
        private volatile long mEndNanos = Long.MAX_VALUE;

        private Span(long startNanos) {
            mStartNanos = startNanos;
        }

        /** Ends the disturbance. */
        void end() {
            mEndNanos = System.nanoTime();
        }
    }

    /** Notes that a process is disturbed from now on. */
    synchronized Span begin(String process) {
        Span span = new Span(System.nanoTime());
        mSpans.computeIfAbsent(process, key -> new ArrayList<>()).add(span);
        return span;
    }

    /** Returns whether a process was left alone from a contact time before a span to its end. */
    synchronized boolean isCalm(String process, long fromNanos, long toNanos) {
        for (Span span : mSpans.getOrDefault(process, List.of())) {
            boolean endedBefore =
                    span.mEndNanos != Long.MAX_VALUE && span.mEndNanos < fromNanos - CONTACT_NANOS;
            if (!endedBefore && span.mStartNanos <= toNanos) {
                return false;
            }
        }
        return true;
    }
}
