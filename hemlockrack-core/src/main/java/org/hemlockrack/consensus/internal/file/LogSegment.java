package org.hemlockrack.consensus.internal.file;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.HemlockrackException;

/** One file of the log: consecutive entries, starting at the index in the file's name. */
final class LogSegment implements Closeable {
    static final String PREFIX = "log-";
    static final String SUFFIX = ".seg";

    private final String mName;
    private final long mBaseIndex;
    private final FileChannel mChannel;
    private long[] mOffsets = new long[64];
    private int mCount;
    private long mSizeBytes;

    private LogSegment(String name, long base, FileChannel channel) {
        mName = name;
        mBaseIndex = base;
        mChannel = channel;
    }

    static String name(long base) {
        return PREFIX + String.format("%020d", base) + SUFFIX;
    }

    static long baseIndex(String name) {
        String digits = name.substring(PREFIX.length(), name.length() - SUFFIX.length());
        return Long.parseLong(digits);
    }

    static LogSegment create(DataFolder folder, long base) throws IOException {
        String name = name(base);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        try {
            channel.force(true);
            folder.sync();
            return new LogSegment(name, base, channel);
        } catch (IOException e) {
            channel.close();
            throw e;
        }
    }

    /**
     * Opens a file and reads its entries.
     *
     * @param newest whether this is the newest segment, whose last record may be torn by a crash
     *     and is then cut off
     * @param entries receives the entries
     */
    static LogSegment open(DataFolder folder, String name, boolean newest, List<Entry> entries)
            throws IOException {
        Path file = folder.resolve(name);
        FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
        LogSegment segment = new LogSegment(name, baseIndex(name), channel);
        try {
            segment.load(file, newest, entries);
            return segment;
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private void load(Path file, boolean newest, List<Entry> entries) throws IOException {
        ByteBuffer in = ByteBuffer.wrap(Files.readAllBytes(file));
        while (in.hasRemaining()) {
            int start = in.position();
            byte[] payload = RecordFormat.readNext(file, in);
            if (payload == null) {
                truncateTornTail(file, start, newest);
                break;
            }
            Entry entry = decode(file, start, payload);
            if (entry.index() != mBaseIndex + mCount) {
                throw RecordFormat.damaged(file, start, "order of entries");
            }
            recordOffset(start);
            mSizeBytes = in.position();
            entries.add(entry);
        }
        mChannel.position(mSizeBytes);
    }

    private void truncateTornTail(Path file, int start, boolean newest) throws IOException {
        if (!newest) {
            throw RecordFormat.damaged(file, start, "incomplete record");
        }
        mChannel.truncate(start);
        mChannel.force(true);
    }

    private static Entry decode(Path file, int start, byte[] payload) {
        try {
            return WireCodec.decodeEntry(payload);
        } catch (HemlockrackException e) {
            throw RecordFormat.damaged(file, start, e.getMessage());
        }
    }

    void append(Entry entry) throws IOException {
        ByteBuffer record = RecordFormat.encode(WireCodec.encodeEntry(entry));
        recordOffset(mSizeBytes);
        mSizeBytes += record.remaining();
        DataFolder.writeFully(mChannel, record);
    }

    private void recordOffset(long offset) {
        if (mCount == mOffsets.length) {
            mOffsets = Arrays.copyOf(mOffsets, mCount * 2);
        }
        mOffsets[mCount++] = offset;
    }

    void truncateFrom(long index) throws IOException {
        int position = Math.toIntExact(index - mBaseIndex);
        if (position >= mCount) {
            return;
        }
        mSizeBytes = mOffsets[position];
        mCount = position;
        mChannel.truncate(mSizeBytes);
        mChannel.position(mSizeBytes);
    }

    void sync() throws IOException {
        mChannel.force(false);
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

    long sizeBytes() {
        return mSizeBytes;
    }

    static List<Long> baseIndexes(List<String> names) {
        List<Long> bases = new ArrayList<>();
        for (String name : names) {
            bases.add(baseIndex(name));
        }
        return bases;
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
