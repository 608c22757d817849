package org.hemlockrack.consensus.internal.file;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.WireMeta;
import org.jspecify.annotations.Nullable;

/**
 * A store in the files of one folder: {@code meta} (replica id, term, vote, newest segment), log
 * segments, and one snapshot.
 *
 * <p>{@code meta} names the newest segment, so that the loss of that file is seen: without the name
 * a shorter log would look complete, and the replica could vote for a leader that lacks entries
 * which it acknowledged.
 */
public final class FileLogStore implements LogStore {
    /** A segment is closed at this size; compaction removes whole segments. */
    private static final long SEGMENT_BYTES = 4 << 20;

    private static final String META = "meta";
    private static final String DAMAGED = "damaged";

    private final Path mPath;
    private final Folder mFolder;
    private final SnapshotFile mSnapshot;
    private final List<Segment> mSegments = new ArrayList<>();
    private HardState mMeta;
    private long mNewestSegment;
    private @Nullable RecoveredState mRecovered;

    private FileLogStore(Path path, Folder folder, HardState fresh) {
        mPath = path;
        mFolder = folder;
        mSnapshot = new SnapshotFile(folder);
        mMeta = fresh;
    }

    /**
     * Opens a folder; see {@link LogStore#open}.
     *
     * @param path the folder
     * @param random source for the id of a new replica
     * @return the store
     */
    public static FileLogStore open(Path path, RandomGenerator random) {
        return open(path, random, false);
    }

    /**
     * Opens a damaged folder as a new replica; see {@link LogStore#openDamaged}.
     *
     * @param path the folder
     * @param random source for the id of the new replica
     * @return the store
     */
    public static FileLogStore openDamaged(Path path, RandomGenerator random) {
        return open(path, random, true);
    }

    private static FileLogStore open(Path path, RandomGenerator random, boolean discard) {
        try {
            Folder folder = Folder.lock(path);
            FileLogStore store = new FileLogStore(path, folder, HardState.fresh(newId(random)));
            try {
                if (discard) {
                    folder.setAside(DAMAGED);
                }
                store.load();
                return store;
            } catch (IOException | RuntimeException e) {
                store.close();
                throw e;
            }
        } catch (IOException e) {
            throw failed(path, e);
        }
    }

    private static long newId(RandomGenerator random) {
        long id = random.nextLong();
        while (id == 0) {
            id = random.nextLong();
        }
        return id;
    }

    private static HemlockrackException failed(Path path, IOException cause) {
        return HemlockrackException.of(
                ErrorKind.INTERNAL, String.format(ErrorText.STORE_FAILED, path), cause);
    }

    private void load() throws IOException {
        List<String> names = mFolder.names(Segment.PREFIX, Segment.SUFFIX);
        Path file = mFolder.resolve(META);
        if (Files.exists(file)) {
            loadMeta(file);
        } else if (!names.isEmpty() || !mFolder.names("snapshot-", ".snap").isEmpty()) {
            throw Records.missing(file);
        } else {
            writeMeta();
        }
        mSnapshot.open();
        SnapshotMeta snapshot = mSnapshot.meta();
        List<Entry> entries = loadSegments(names, snapshot);
        mRecovered = new RecoveredState(mMeta, snapshot, entries);
    }

    private void loadMeta(Path file) throws IOException {
        byte[] payload = Records.next(file, ByteBuffer.wrap(Files.readAllBytes(file)));
        if (payload == null) {
            throw Records.damaged(file, 0, "incomplete record");
        }
        WireMeta wire = WireCodec.decode(payload, new WireMeta());
        mMeta = new HardState(wire.getReplicaId(), wire.getTerm(), wire.getVote());
        mNewestSegment = wire.getNewestSegment();
    }

    private List<Entry> loadSegments(List<String> names, @Nullable SnapshotMeta snapshot)
            throws IOException {
        List<Entry> entries = new ArrayList<>();
        if (mNewestSegment != 0 && !names.contains(Segment.name(mNewestSegment))) {
            throw Records.missing(mFolder.resolve(Segment.name(mNewestSegment)));
        }
        long snapshotIndex = snapshot == null ? 0 : snapshot.index();
        for (String name : names) {
            boolean newest = name.equals(names.get(names.size() - 1));
            boolean follows = entries.isEmpty() || nextIndex() == Segment.base(name);
            if (!follows) {
                requireCovered(name, snapshotIndex);
                entries.clear();
                dropSegments(0);
            }
            mSegments.add(Segment.read(mFolder, name, newest, entries));
        }
        if (!mSegments.isEmpty()) {
            requireCovered(mSegments.get(0).name(), snapshotIndex);
        }
        if (snapshot != null && !connects(snapshot, entries)) {
            resetLog(snapshotIndex + 1);
            entries.clear();
        }
        return entries;
    }

    private long nextIndex() {
        return mSegments.get(mSegments.size() - 1).lastIndex() + 1;
    }

    /** What precedes a segment must be in the snapshot; otherwise files are missing. */
    private void requireCovered(String name, long snapshotIndex) {
        if (Segment.base(name) > snapshotIndex + 1) {
            throw Records.missing(mFolder.resolve(Segment.name(snapshotIndex + 1)));
        }
    }

    /**
     * A log that lacks the snapshot's last entry, or has another there, dates from before an
     * installation that a crash interrupted, and is dropped.
     */
    private boolean connects(SnapshotMeta snapshot, List<Entry> entries) {
        if (entries.isEmpty()) {
            return !mSegments.isEmpty() && nextIndex() == snapshot.index() + 1;
        }
        long position = snapshot.index() - entries.get(0).index();
        if (position == -1) {
            return true;
        }
        return position < entries.size() && entries.get((int) position).term() == snapshot.term();
    }

    private void writeMeta() throws IOException {
        WireMeta wire = new WireMeta(mMeta.replicaId(), mMeta.term(), mMeta.vote(), mNewestSegment);
        mFolder.replace(META, Records.encode(WireCodec.encode(wire)));
    }

    @Override
    public RecoveredState recovered() {
        RecoveredState recovered = mRecovered;
        if (recovered == null) {
            throw new IllegalStateException("not loaded");
        }
        return recovered;
    }

    @Override
    public void saveHardState(HardState meta) {
        run(
                () -> {
                    mMeta = meta;
                    writeMeta();
                });
    }

    @Override
    public void append(List<Entry> entries) {
        run(
                () -> {
                    prepare(entries.get(0).index());
                    for (Entry entry : entries) {
                        writable().append(entry);
                    }
                });
    }

    private void prepare(long index) throws IOException {
        if (mSegments.isEmpty() || index > nextIndex() || index < mSegments.get(0).base()) {
            resetLog(index);
        } else if (index < nextIndex()) {
            truncateFrom(index);
        }
    }

    private void truncateFrom(long index) throws IOException {
        int keep = mSegments.size();
        while (keep > 1 && mSegments.get(keep - 1).base() >= index) {
            keep--;
        }
        if (keep < mSegments.size()) {
            nameNewest(mSegments.get(keep - 1).base());
            dropSegments(keep);
            mFolder.sync();
        }
        mSegments.get(keep - 1).truncateFrom(index);
    }

    /** Returns the newest segment, or a new one if it is full. */
    private Segment writable() throws IOException {
        Segment newest = mSegments.get(mSegments.size() - 1);
        if (newest.sizeBytes() < SEGMENT_BYTES) {
            return newest;
        }
        newest.sync();
        Segment next = Segment.create(mFolder, newest.lastIndex() + 1);
        mSegments.add(next);
        nameNewest(next.base());
        return next;
    }

    private void nameNewest(long base) throws IOException {
        mNewestSegment = base;
        writeMeta();
    }

    /** Drops the whole log and starts a segment at an index. */
    private void resetLog(long firstIndex) throws IOException {
        nameNewest(0);
        dropSegments(0);
        mFolder.sync();
        mSegments.add(Segment.create(mFolder, firstIndex));
        nameNewest(firstIndex);
    }

    /** Removes segments from a position on, newest first, so that no gap can remain. */
    private void dropSegments(int keep) throws IOException {
        while (mSegments.size() > keep) {
            Segment segment = mSegments.remove(mSegments.size() - 1);
            segment.close();
            mFolder.delete(segment.name());
        }
    }

    @Override
    public void sync() {
        run(
                () -> {
                    if (!mSegments.isEmpty()) {
                        mSegments.get(mSegments.size() - 1).sync();
                    }
                });
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        run(() -> mSnapshot.save(meta, state));
    }

    @Override
    public byte[] loadSnapshot() {
        SnapshotMeta meta = mSnapshot.meta();
        return readSnapshot(0, meta == null ? 0 : (int) meta.sizeBytes());
    }

    @Override
    public byte[] readSnapshot(long offset, int maxBytes) {
        try {
            return mSnapshot.read(offset, maxBytes);
        } catch (IOException e) {
            throw failed(mPath, e);
        }
    }

    @Override
    public void storeChunk(SnapshotMeta meta, long offset, byte[] data) {
        run(() -> mSnapshot.storeChunk(offset, data));
    }

    @Override
    public boolean installSnapshot(SnapshotMeta meta) {
        try {
            if (!mSnapshot.install(meta)) {
                return false;
            }
            resetLog(meta.index() + 1);
            return true;
        } catch (IOException e) {
            throw failed(mPath, e);
        }
    }

    @Override
    public void compact(long firstIndex) {
        run(
                () -> {
                    while (mSegments.size() > 1 && mSegments.get(0).lastIndex() < firstIndex) {
                        Segment oldest = mSegments.remove(0);
                        oldest.close();
                        mFolder.delete(oldest.name());
                    }
                });
    }

    private void run(FileAction action) {
        try {
            action.run();
        } catch (IOException e) {
            throw failed(mPath, e);
        }
    }

    @Override
    public void close() {
        run(
                () -> {
                    for (Segment segment : mSegments) {
                        segment.close();
                    }
                    mSnapshot.closePart();
                    mFolder.close();
                });
    }

    /** Something that fails with an I/O error. */
    private interface FileAction {
        void run() throws IOException;
    }
}
