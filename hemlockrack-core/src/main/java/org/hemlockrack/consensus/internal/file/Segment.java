package org.hemlockrack.consensus.internal.file;

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

/** One file of the log: consecutive entries from the index in its name. */
final class Segment implements AutoCloseable {
    static final String PREFIX = "log-";
    static final String SUFFIX = ".seg";

    private final String mName;
    private final long mBase;
    private final FileChannel mChannel;
    private long[] mOffsets = new long[64];
    private int mCount;
    private long mSizeBytes;

    private Segment(String name, long base, FileChannel channel) {
        mName = name;
        mBase = base;
        mChannel = channel;
    }

    static String name(long base) {
        return PREFIX + String.format("%020d", base) + SUFFIX;
    }

    static long base(String name) {
        String digits = name.substring(PREFIX.length(), name.length() - SUFFIX.length());
        return Long.parseLong(digits);
    }

    static Segment create(Folder folder, long base) throws IOException {
        String name = name(base);
        FileChannel channel =
                FileChannel.open(
                        folder.resolve(name),
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE);
        channel.force(true);
        folder.sync();
        return new Segment(name, base, channel);
    }

    /**
     * Opens a file and reads its entries.
     *
     * @param newest whether a torn record at the end is allowed; it is cut off
     * @param entries receives the entries
     */
    static Segment read(Folder folder, String name, boolean newest, List<Entry> entries)
            throws IOException {
        Path file = folder.resolve(name);
        FileChannel channel = FileChannel.open(file, StandardOpenOption.WRITE);
        Segment segment = new Segment(name, base(name), channel);
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
            byte[] payload = Records.next(file, in);
            if (payload == null) {
                cutTornTail(file, start, newest);
                break;
            }
            Entry entry = decode(file, start, payload);
            if (entry.index() != mBase + mCount) {
                throw Records.damaged(file, start, "order of entries");
            }
            note(start);
            mSizeBytes = in.position();
            entries.add(entry);
        }
        mChannel.position(mSizeBytes);
    }

    private void cutTornTail(Path file, int start, boolean newest) throws IOException {
        if (!newest) {
            throw Records.damaged(file, start, "incomplete record");
        }
        mChannel.truncate(start);
        mChannel.force(true);
    }

    private static Entry decode(Path file, int start, byte[] payload) {
        try {
            return WireCodec.decodeEntry(payload);
        } catch (HemlockrackException e) {
            throw Records.damaged(file, start, e.getMessage());
        }
    }

    void append(Entry entry) throws IOException {
        ByteBuffer record = Records.encode(WireCodec.encodeEntry(entry));
        note(mSizeBytes);
        mSizeBytes += record.remaining();
        Folder.writeFully(mChannel, record);
    }

    private void note(long offset) {
        if (mCount == mOffsets.length) {
            mOffsets = Arrays.copyOf(mOffsets, mCount * 2);
        }
        mOffsets[mCount++] = offset;
    }

    void truncateFrom(long index) throws IOException {
        int position = Math.toIntExact(index - mBase);
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

    long base() {
        return mBase;
    }

    long lastIndex() {
        return mBase + mCount - 1;
    }

    long sizeBytes() {
        return mSizeBytes;
    }

    static List<Long> bases(List<String> names) {
        List<Long> bases = new ArrayList<>();
        for (String name : names) {
            bases.add(base(name));
        }
        return bases;
    }

    @Override
    public void close() throws IOException {
        mChannel.close();
    }
}
