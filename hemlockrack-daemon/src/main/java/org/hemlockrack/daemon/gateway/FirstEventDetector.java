package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;

/**
 * Detects the end of the first event in the body of a server's answer, which shows that the server
 * has begun to produce the answer. Not thread-safe, except that any thread may read the results.
 */
final class FirstEventDetector {
    private volatile boolean mComplete;
    private volatile long mBytes;
    private boolean mInLine;
    private boolean mHasLine;

    private FirstEventDetector() {}

    static FirstEventDetector create() {
        return new FirstEventDetector();
    }

    /** Adds bytes of the body; consumes the buffer. */
    void feed(ByteBuffer data) {
        mBytes += data.remaining();
        while (!mComplete && data.hasRemaining()) {
            addByte(data.get());
        }
    }

    private void addByte(byte b) {
        if (b == '\r') {
            return;
        }
        if (b != '\n') {
            mInLine = true;
            mHasLine = true;
            return;
        }
        // An empty line ends an event if there was a line before it.
        mComplete = !mInLine && mHasLine;
        mInLine = false;
    }

    /** Returns whether a whole event has arrived. */
    boolean isComplete() {
        return mComplete;
    }

    /** Returns the number of bytes. */
    long bytes() {
        return mBytes;
    }
}
