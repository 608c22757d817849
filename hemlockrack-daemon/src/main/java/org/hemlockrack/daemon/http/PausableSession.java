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
 * A session that reads nothing while its read event is cleared. HttpCore clears the event when the
 * window of an answer is used up, but its chunk decoder goes on reading as long as the socket has
 * data, which let a fast server exceed the window without bound.
 */
final class PausableSession implements IOSession {
    private final IOSession mSession;
    private volatile boolean mPaused;

    PausableSession(IOSession session) {
        mSession = session;
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        return mPaused ? 0 : mSession.read(dst);
    }

    @Override
    public void setEventMask(int mask) {
        mPaused = (mask & SelectionKey.OP_READ) == 0;
        mSession.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = false;
        }
        mSession.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
        if ((op & SelectionKey.OP_READ) != 0) {
            mPaused = true;
        }
        mSession.clearEvent(op);
    }

    @Override
    public IOEventHandler getHandler() {
        return mSession.getHandler();
    }

    @Override
    public void upgrade(IOEventHandler handler) {
        mSession.upgrade(handler);
    }

    @Override
    public Lock getLock() {
        return mSession.getLock();
    }

    @Override
    public void enqueue(Command command, Command.Priority priority) {
        mSession.enqueue(command, priority);
    }

    @Override
    public boolean hasCommands() {
        return mSession.hasCommands();
    }

    @Override
    public Command poll() {
        return mSession.poll();
    }

    @Override
    public ByteChannel channel() {
        return mSession.channel();
    }

    @Override
    public SocketAddress getRemoteAddress() {
        return mSession.getRemoteAddress();
    }

    @Override
    public SocketAddress getLocalAddress() {
        return mSession.getLocalAddress();
    }

    @Override
    public int getEventMask() {
        return mSession.getEventMask();
    }

    @Override
    public void close() {
        mSession.close();
    }

    @Override
    public void close(CloseMode mode) {
        mSession.close(mode);
    }

    @Override
    public Status getStatus() {
        return mSession.getStatus();
    }

    @Override
    public boolean isOpen() {
        return mSession.isOpen();
    }

    @Override
    public int write(ByteBuffer src) throws IOException {
        return mSession.write(src);
    }

    @Override
    public Timeout getSocketTimeout() {
        return mSession.getSocketTimeout();
    }

    @Override
    public void setSocketTimeout(Timeout timeout) {
        mSession.setSocketTimeout(timeout);
    }

    @Override
    public long getLastReadTime() {
        return mSession.getLastReadTime();
    }

    @Override
    public long getLastWriteTime() {
        return mSession.getLastWriteTime();
    }

    @Override
    public long getLastEventTime() {
        return mSession.getLastEventTime();
    }

    @Override
    public void updateReadTime() {
        mSession.updateReadTime();
    }

    @Override
    public void updateWriteTime() {
        mSession.updateWriteTime();
    }

    @Override
    public String getId() {
        return mSession.getId();
    }
}
