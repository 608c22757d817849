package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.SelectionKey;
import org.apache.hc.core5.reactor.IOSession;

/**
 * A session whose reads return no data while interest in read events is cleared. HttpCore clears it
 * when the flow-control window of a response is used up, but its chunk decoder reads on while the
 * socket has data, so a fast server could exceed the window without bound.
 */
final class PausableSession extends ForwardingSession {
    private volatile boolean mPaused;

    PausableSession(IOSession session) {
        super(session);
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        return mPaused ? 0 : super.read(dst);
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
