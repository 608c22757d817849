package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A session whose reads return no data while interest in read events is cleared. HttpCore clears it
 * when the flow-control window of a response is used up, but its chunk decoder reads on while the
 * socket has data, so a fast server could exceed the window without bound.
 *
 * <p>The end of the input is reported by a read of its own event, after the data before it has been
 * processed. HttpCore drops the response that follows an informational one if it reads the end of
 * the input in the same event.
 */
final class PausableSession extends ForwardingSession {
    private volatile boolean mPaused;
    private boolean mFollowsData;

    PausableSession(IOSession session) {
        super(session);
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        if (mPaused) {
            return 0;
        }
        int bytes = super.read(dst);
        boolean followsData = mFollowsData;
        mFollowsData = bytes > 0;
        boolean isAtEnd = bytes < 0;
        return isAtEnd && followsData ? 0 : bytes;
    }

    @Override
    public void setEventMask(int mask) {
        mPaused = (mask & SelectionKey.OP_READ) == 0;
        super.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = false;
        }
        super.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = true;
        }
        super.clearEvent(op);
    }
}
