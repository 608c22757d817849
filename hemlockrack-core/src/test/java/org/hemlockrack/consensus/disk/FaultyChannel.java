package org.hemlockrack.consensus.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.MappedByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import java.nio.file.Files;
import java.nio.file.Path;

/** An open file of a {@link FaultyDisk}. */
final class FaultyChannel extends FileChannel {
    private final FaultyDisk mDisk;
    private final Path mFile;
    private final FileChannel mChannel;

    FaultyChannel(FaultyDisk disk, Path file, FileChannel channel) {
        mDisk = disk;
        mFile = file;
        mChannel = channel;
        disk.opened();
    }

    @Override
    public int read(ByteBuffer target) throws IOException {
        mDisk.check(DiskOperation.READ);
        return mChannel.read(target);
    }

    @Override
    public long read(ByteBuffer[] targets, int offset, int length) throws IOException {
        mDisk.check(DiskOperation.READ);
        return mChannel.read(targets, offset, length);
    }

    @Override
    public int read(ByteBuffer target, long position) throws IOException {
        mDisk.check(DiskOperation.READ);
        return mChannel.read(target, position);
    }

    @Override
    public int write(ByteBuffer source) throws IOException {
        int bytes = write(source, mChannel.position());
        mChannel.position(mChannel.position() + bytes);
        return bytes;
    }

    @Override
    public long write(ByteBuffer[] sources, int offset, int length) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int write(ByteBuffer source, long position) throws IOException {
        int bytes = source.remaining();
        boolean isRefused = mDisk.refusesWrite();
        int admitted = isRefused ? mDisk.tornBytes(bytes) : bytes;
        ByteBuffer part = source.duplicate().limit(source.position() + admitted);
        mDisk.written(mFile, position, part);
        while (part.hasRemaining()) {
            mChannel.write(part, position + part.position() - source.position());
        }
        if (isRefused) {
            throw new IOException("No space left on device");
        }
        source.position(source.limit());
        return bytes;
    }

    @Override
    public long position() throws IOException {
        return mChannel.position();
    }

    @Override
    public FileChannel position(long position) throws IOException {
        mChannel.position(position);
        return this;
    }

    @Override
    public long size() throws IOException {
        return mChannel.size();
    }

    @Override
    public FileChannel truncate(long sizeBytes) throws IOException {
        mDisk.check(DiskOperation.TRUNCATE);
        mChannel.truncate(sizeBytes);
        mDisk.truncated(mFile, sizeBytes);
        return this;
    }

    @Override
    public void force(boolean metaData) throws IOException {
        if (Files.isDirectory(mFile)) {
            mDisk.check(DiskOperation.SYNC_FOLDER);
            return;
        }
        mDisk.sync(mFile);
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
        return mChannel.lock(position, size, shared);
    }

    @Override
    public FileLock tryLock(long position, long size, boolean shared) throws IOException {
        return mChannel.tryLock(position, size, shared);
    }

    @Override
    protected void implCloseChannel() throws IOException {
        mDisk.closed();
        mChannel.close();
    }
}
