package org.hemlockrack.consensus.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.ClosedChannelException;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.NonReadableChannelException;
import java.nio.channels.NonWritableChannelException;
import java.nio.channels.OverlappingFileLockException;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.Set;

/** An open file of a {@link FaultyDisk}. */
final class FaultyChannel extends FileChannel {
    private static final class Lock extends FileLock {
        private final FaultyChannel mChannel;

        Lock(FaultyChannel channel, long position, long size, boolean shared) {
            super(channel, position, size, shared);
            mChannel = channel;
        }

        @Override
        public boolean isValid() {
            return mChannel.mHoldsLock;
        }

        @Override
        public void release() {
            mChannel.unlock();
        }
    }

    private final FaultyDisk mDisk;
    private final Path mPath;
    private final FaultyFile mFile;
    private final boolean mIsReadable;
    private final boolean mIsWritable;
    private long mPosition;
    private boolean mHoldsLock;

    /** Whether the process that has opened the file has ended. */
    private boolean mIsAbandoned;

    FaultyChannel(FaultyDisk disk, Path path, FaultyFile file, Set<? extends OpenOption> options) {
        mDisk = disk;
        mPath = path;
        mFile = file;
        mIsWritable = options.contains(StandardOpenOption.WRITE);
        mIsReadable = !mIsWritable || options.contains(StandardOpenOption.READ);
        disk.opened(this);
    }

    private void requireUsable() throws IOException {
        if (mIsAbandoned) {
            throw new FaultyDisk.PowerLostException();
        }
        if (!isOpen()) {
            throw new ClosedChannelException();
        }
    }

    private void requireWritable() throws IOException {
        requireUsable();
        if (!mIsWritable) {
            throw new NonWritableChannelException();
        }
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        int count = read(target, mPosition);
        mPosition += Math.max(0, count);
        return count;
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int read(ByteBuffer target, long position) throws IOException {
        requireUsable();
        if (!mIsReadable) {
            throw new NonReadableChannelException();
        }
        mDisk.check(DiskOperation.READ);
        return mFile.read(position, target);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        int count = write(source, mPosition);
        mPosition += count;
        return count;
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
        requireWritable();
        int count = source.remaining();
        boolean isRefused = mDisk.refusesWrite();
        byte[] bytes = new byte[isRefused ? mDisk.tornBytes(count) : count];
        source.duplicate().get(bytes);
        mFile.write(position, bytes);
        if (isRefused) {
            throw new IOException("No space left on device");
        }
        source.position(source.limit());
        return count;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) throws IOException {
        long count = 0;
        for (int i = offset; i < offset + length; i++) {
            count += write(sources[i]);
        }
        return count;
    }

    @Override
    public long position() {
        return mPosition;
    }

    @Override
    public FileChannel position(long position) {
        mPosition = position;
        return this;
    }

    @Override
    public long size() throws IOException {
        requireUsable();
        return mFile.sizeBytes();
    }

    @Override
    public FileChannel truncate(long sizeBytes) throws IOException {
        requireWritable();
        mDisk.check(DiskOperation.TRUNCATE);
        mFile.truncate(sizeBytes);
        mPosition = Math.min(mPosition, sizeBytes);
        return this;
    }

    @Override
    public void force(boolean metaData) throws IOException {
        requireUsable();
        mDisk.sync(mPath, mFile);
    }

    @Override
    public long transferTo(long position, long count, WritableByteChannel target) {
        throw new UnsupportedOperationException();
    }

    @Override
    public long transferFrom(ReadableByteChannel source, long position, long count) {
        throw new UnsupportedOperationException();
    }

    @Override
    public MappedByteBuffer map(MapMode mode, long position, long size) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileLock lock(long position, long size, boolean shared) throws IOException {
        return tryLock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        requireUsable();
        if (!mFile.lock()) {
            throw new OverlappingFileLockException();
        }
        mHoldsLock = true;
        return new Lock(this, position, size, shared);
    }

    private void unlock() {
        if (mHoldsLock) {
            mHoldsLock = false;
            mFile.unlock();
        }
    }

    /** Releases the lock, as the process that holds it has ended. */
    void abandon() {
        unlock();
        mIsAbandoned = true;
    }

    @Override
    protected void implCloseChannel() {
        unlock();
        mDisk.closed(this);
    }
}
