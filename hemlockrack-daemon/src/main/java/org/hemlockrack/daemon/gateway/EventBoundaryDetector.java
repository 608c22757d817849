package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;

/**
 * Detects the ends of the events in the body of a server's answer. The end of the first event shows
 * that the server has begun to produce the answer; an answer that ends inside an event has been
 * broken off. Not thread-safe, except that any thread may read the results.
 */
final class EventBoundaryDetector {
    private volatile int mEvents;
    private volatile long mBytes;
    private boolean mInLine;
    private boolean mInEvent;

    private EventBoundaryDetector() {}

    static EventBoundaryDetector create() {
        return new EventBoundaryDetector();
    }

    /** Adds bytes of the body; consumes the buffer. */
    void feed(ByteBuffer data) {
        mBytes += data.remaining();
        while (data.hasRemaining()) {
            addByte(data.get());
        }
    }

    private void addByte(byte b) {
        if (b == '\r') {
            return;
        }
        if (b != '\n') {
            mInLine = true;
            mInEvent = true;
            return;
        }
        // An empty line ends an event if there was a line before it.
        if (!mInLine && mInEvent) {
            mEvents++;
            mInEvent = false;
        }
        mInLine = false;
    }

    /** Returns whether a whole event has arrived. */
    boolean hasEvent() {
        return mEvents > 0;
    }

    /** Returns the number of whole events that have arrived. */
    int events() {
        return mEvents;
    }

    /** Returns whether bytes have arrived since the end of the last event. */
    boolean isInsideEvent() {
        return mInEvent;
    }

    /** Returns the number of bytes. */
    long bytes() {
        return mBytes;
    }
}
