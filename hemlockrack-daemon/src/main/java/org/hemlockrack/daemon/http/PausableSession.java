package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.nio.channels.SelectionKey;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/**
 * A session whose reads return no data while interest in read events is cleared. HttpCore clears it
 * when the flow-control window of a response is used up, but its chunk decoder reads on while the
 * socket has data, so a fast server could exceed the window without bound.
 */
final class PausableSession implements IOSession {
    private final IOSession mDelegate;
    private volatile boolean mPaused;

    PausableSession(IOSession session) {
        mDelegate = session;
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        return mPaused ? 0 : mDelegate.read(dst);
    }

    @Override
    public void setEventMask(int mask) {
        mPaused = (mask & SelectionKey.OP_READ) == 0;
        mDelegate.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = false;
        }
        mDelegate.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = true;
        }
        mDelegate.clearEvent(op);
    }

    @Override
    public IOEventHandler getHandler() {
        return mDelegate.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        mDelegate.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return mDelegate.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        mDelegate.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return mDelegate.hasCommands();
    }

    @Override
    public Command poll() {
        return mDelegate.poll();
    }

    @Override
    public ByteChannel channel() {
        return mDelegate.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return mDelegate.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return mDelegate.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return mDelegate.getEventMask();
    }

    @Override
    public void close() {
        mDelegate.close();
    }

    @Override
    public void close(CloseMode mode) {
        mDelegate.close(mode);
    }

    @Override
    public Status getStatus() {
        return mDelegate.getStatus();
    }

    @Override
    public boolean isOpen() {
        return mDelegate.isOpen();
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        return mDelegate.write(src);
    }

    @Override
    public Timeout getSocketTimeout() {
        return mDelegate.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        mDelegate.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return mDelegate.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return mDelegate.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return mDelegate.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        mDelegate.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        mDelegate.updateWriteTime();
    }

    @Override
    public String getId() {
        return mDelegate.getId();
    }
}
