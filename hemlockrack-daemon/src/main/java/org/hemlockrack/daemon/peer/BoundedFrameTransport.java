package org.hemlockrack.daemon.peer;

import java.util.Arrays;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.apache.thrift.transport.layered.TLayeredTransport;
import org.hemlockrack.limits.RequestMemory;
import org.jspecify.annotations.Nullable;

/**
 * Reads the frames of one connection with TLS within the memory of its port. A frame is allocated
 * as its bytes arrive, so that an announced length costs nothing. Output is not supported. Apart
 * from evictions, confined to the thread of the connection.
 */
final class BoundedFrameTransport extends TLayeredTransport implements RequestMemory.Holder {
    private static final int LENGTH_BYTES = 4;
    private static final int FIRST_BYTES = 16 << 10;
    private static final byte[] EMPTY = {};

    private final TlsServerTransport.Connection mConnection;
    private final RequestMemory.Account mAccount;
    private byte[] mFrame = EMPTY;
    private int mPosition;
    private int mEnd;
    private volatile boolean mIncomplete;
    private volatile long mLastByteNanos;

    /** Guarded by this, like the next field. */
    private long mHeldBytes;

    private boolean mEvicted;

    private BoundedFrameTransport(
            TlsServerTransport.Connection connection, RequestMemory memory, String peer) {
        super(connection);
        mConnection = connection;
        mAccount = memory.open(peer, this);
    }

    static BoundedFrameTransport of(
            TlsServerTransport.Connection connection, RequestMemory memory) {
        String peer = connection.getSocket().getInetAddress().getHostAddress();
        return new BoundedFrameTransport(connection, memory, peer);
    }

    @Override
    public int read(byte[] buffer, int offset, int length) throws TTransportException {
        if (mPosition == mEnd) {
            readFrame();
        }
        int count = Math.min(length, mEnd - mPosition);
        System.arraycopy(mFrame, mPosition, buffer, offset, count);
        consumeBuffer(count);
        return count;
    }

    @Override
    public byte[] getBuffer() {
        return mFrame;
    }

    @Override
    public int getBufferPosition() {
        return mPosition;
    }

    @Override
    public void consumeBuffer(int bytes) {
        mPosition += bytes;
        if (mPosition == mEnd) {
            releaseFrame();
        }
    }

    @Override
    public int getBytesRemainingInBuffer() {
        return mEnd - mPosition;
    }

    private void readFrame() throws TTransportException {
        byte[] prefix = new byte[LENGTH_BYTES];
        getInnerTransport().readAll(prefix, 0, LENGTH_BYTES);
        int size = TFramedTransport.decodeFrameSize(prefix);
        if (size <= 0 || size > PeerServer.MAX_FRAME_BYTES) {
            throw new TTransportException(
                    TTransportException.CORRUPTED_DATA, "frame of " + size + " bytes");
        }
        mLastByteNanos = System.nanoTime();
        mIncomplete = true;
        grow(Math.min(size, FIRST_BYTES));
        int received = 0;
        while (received < size) {
            if (received == mFrame.length) {
                grow(Math.min(size, 2 * mFrame.length));
            }
            received += getInnerTransport().read(mFrame, received, mFrame.length - received);
            mLastByteNanos = System.nanoTime();
        }
        finishFrame();
        mConnection.onFrame();
        mEnd = size;
    }

    /** Reserves and allocates a larger array; for a moment both are held. */
    private void grow(int bytes) throws TTransportException {
        // No lock is held here, since this may evict other connections.
        if (!mAccount.tryReserve(RequestMemory.Kind.BODY, bytes, System.nanoTime())) {
            throw new TTransportException("no memory for a frame");
        }
        addHeld(bytes);
        int oldBytes = mFrame.length;
        mFrame = Arrays.copyOf(mFrame, bytes);
        releaseHeld(oldBytes);
    }

    private synchronized void addHeld(int bytes) throws TTransportException {
        if (mEvicted) {
            mAccount.release(RequestMemory.Kind.BODY, bytes);
            throw evicted();
        }
        mHeldBytes += bytes;
    }

    private synchronized void releaseHeld(long bytes) {
        long releasedBytes = Math.min(bytes, mHeldBytes);
        mAccount.release(RequestMemory.Kind.BODY, releasedBytes);
        mHeldBytes -= releasedBytes;
    }

    private synchronized void finishFrame() throws TTransportException {
        if (mEvicted) {
            throw evicted();
        }
        mIncomplete = false;
    }

    private static TTransportException evicted() {
        return new TTransportException("the connection was closed, because memory is short");
    }

    private void releaseFrame() {
        mFrame = EMPTY;
        mPosition = 0;
        mEnd = 0;
        releaseHeld(Long.MAX_VALUE);
    }

    @Override
    public @Nullable Long incompleteSinceNanos() {
        return mIncomplete ? mLastByteNanos : null;
    }

    @Override
    public synchronized boolean evict() {
        if (!mIncomplete || mEvicted) {
            return false;
        }
        mEvicted = true;
        releaseHeld(Long.MAX_VALUE);
        mConnection.reset();
        return true;
    }

    @Override
    public void close() {
        mIncomplete = false;
        releaseFrame();
        mAccount.close();
        getInnerTransport().close();
    }

    @Override
    public boolean isOpen() {
        return getInnerTransport().isOpen();
    }

    @Override
    public void open() throws TTransportException {
        getInnerTransport().open();
    }

    @Override
    public void write(byte[] buffer, int offset, int length) {
        throw new UnsupportedOperationException();
    }
}
