package org.hemlockrack.consensus.internal.file;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.Entry;

/**
 * One file of the log: consecutive entries, starting at the index in the file's name.
 *
 * <p>Frames are only appended. A frame whose first index is not the next one replaces the entries
 * from there on, so that a loss of power never mixes bytes of old and new frames.
 */
final class LogSegment implements Closeable {
    static final String PREFIX = "log-";
    static final String SUFFIX = ".seg";

    private final String mName;
    private final long mBaseIndex;
    private final long mSalt;
    private final FileChannel mChannel;
    private int mCount;
    private int mSizeBytes = SegmentHeader.SIZE_BYTES;
    private int mSyncedBytes = SegmentHeader.SIZE_BYTES;
    private int mLastFrame;

    /** Whether the next frame replaces entries, which it can do in this segment only. */
    private boolean mReplacesEntries;

    private LogSegment(String name, long base, long salt, FileChannel channel) {
        mName = name;
        mBaseIndex = base;
        mSalt = salt;
        mChannel = channel;
    }

    static String name(long base) {
        return PREFIX + String.format("%020d", base) + SUFFIX;
    }

    static long baseIndex(String name) {
        String digits = name.substring(PREFIX.length(), name.length() - SUFFIX.length());
        return Long.parseLong(digits);
    }

    static LogSegment create(DataFolder folder, long base, long salt) throws IOException {
        String name = name(base);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        try {
            DataFolder.writeFully(channel, new SegmentHeader(salt).encode());
            channel.force(true);
            folder.sync();
            return new LogSegment(name, base, salt, channel);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a file and reads its entries.
     *
     * @param newest whether this is the newest segment, whose unsynced end may be torn and is then
     *     cut off
     * @param entries receives the entries
     */
    static LogSegment open(DataFolder folder, String name, boolean newest, List<Entry> entries)
            throws IOException {
        Path path = folder.resolve(name);
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
        SegmentContent content = SegmentContent.read(path, file, baseIndex(name), newest);
        FileChannel channel = FileChannel.open(path, StandardOpenOption.WRITE);
        LogSegment segment = new LogSegment(name, baseIndex(name), content.salt(), channel);
        try {
            segment.restore(file, content);
            entries.addAll(content.entries());
            return segment;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    /** Cuts off a torn end and makes durable what can be read. */
    private void restore(ByteBuffer file, SegmentContent content) throws IOException {
        mCount = content.entries().size();
        mLastFrame = content.lastFrame();
        mSizeBytes = content.validBytes();
        mSyncedBytes = content.syncedBytes();
        boolean isTorn = mSizeBytes < file.limit();
        if (isTorn) {
            mChannel.truncate(mSizeBytes);
        }
        ByteBuffer unsynced = content.unsyncedFrames(file);
        if (unsynced != null) {
            // After a failed sync, a further sync does not cover the same pages again.
            mChannel.position(mSyncedBytes);
            DataFolder.writeFully(mChannel, unsynced);
        }
        mChannel.position(mSizeBytes);
        if (isTorn) {
            mChannel.force(true);
        }
        sync();
    }

    /** Replaces a segment of version 1. */
    static void convert(DataFolder folder, String name, boolean newest, long salt)
            throws IOException {
        Path path = folder.resolve(name);
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
        if (SegmentHeader.read(file) != null) {
            return;
        }
        List<Entry> entries = LegacySegment.read(path, file, baseIndex(name), newest).entries();
        List<ByteBuffer> parts = new ArrayList<>();
        parts.add(new SegmentHeader(salt).encode());
        int position = SegmentHeader.SIZE_BYTES;
        int next = 0;
        while (next < entries.size()) {
            LogFrame.Builder frame = new LogFrame.Builder();
            while (next < entries.size() && !frame.isFull()) {
                frame.add(entries.get(next++));
            }
            // The file gets its name only after its sync.
            parts.add(frame.build(salt, position, 0, LogFrame.SYNCED));
            position += frame.sizeBytes();
        }
        folder.replace(name, parts.toArray(new ByteBuffer[0]));
    }

    /**
     * Writes entries in one frame, until the segment or the frame is full.
     *
     * @param entries the entries
     * @param from position of the first one to write
     * @param fullBytes size from which on the segment gets no more entries
     * @return position of the first one that was not written
     */
    int append(List<Entry> entries, int from, long fullBytes) throws IOException {
        LogFrame.Builder frame = new LogFrame.Builder();
        int next = from;
        do {
            frame.add(entries.get(next++));
        } while (next < entries.size()
                && !frame.isFull()
                && mSizeBytes + frame.sizeBytes() < fullBytes);
        ByteBuffer bytes =
                frame.build(mSalt, mSizeBytes, mSizeBytes - mSyncedBytes, LogFrame.UNSYNCED);
        mLastFrame = mSizeBytes;
        mSizeBytes += bytes.remaining();
        mCount += next - from;
        mReplacesEntries = false;
        DataFolder.writeFully(mChannel, bytes);
        return next;
    }

    /** Makes the next frame replace the entries from an index on. */
    void replaceFrom(long index) {
        int count = Math.toIntExact(index - mBaseIndex);
        if (count < mCount) {
            mCount = count;
            mReplacesEntries = true;
        }
    }

    /** Makes all frames durable and marks the last one, which testifies for those before it. */
    void sync() throws IOException {
        if (mSyncedBytes == mSizeBytes) {
            return;
        }
        mChannel.force(false);
        mSyncedBytes = mSizeBytes;
        mChannel.write(ByteBuffer.wrap(new byte[] {LogFrame.SYNCED}), mLastFrame);
    }

    boolean isFull(long fullBytes) {
        return mSizeBytes >= fullBytes && !mReplacesEntries;
    }

    String name() {
        return mName;
    }

    long baseIndex() {
        return mBaseIndex;
    }

    long lastIndex() {
        return mBaseIndex + mCount - 1;
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
