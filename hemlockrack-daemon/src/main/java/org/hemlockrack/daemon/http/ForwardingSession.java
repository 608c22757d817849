package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.SocketAddress;
import java.nio.ByteBuffer;
import java.nio.channels.ByteChannel;
import java.util.concurrent.locks.Lock;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.Command;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.util.Timeout;

/** A session that forwards all calls to another one. */
abstract class ForwardingSession implements IOSession {
    private final IOSession mDelegate;

    ForwardingSession(IOSession session) {
        mDelegate = session;
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        return mDelegate.read(dst);
    }

    @Override
    public void setEventMask(int mask) {
        mDelegate.setEventMask(mask);
    }

    @Override
    public void setEvent(int op) {
        mDelegate.setEvent(op);
    }

    @Override
    public void clearEvent(int op) {
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
