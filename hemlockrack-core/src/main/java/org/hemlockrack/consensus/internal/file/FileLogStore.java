package org.hemlockrack.consensus.internal.file;

import com.google.common.io.Closer;
import java.io.IOException;
import java.nio.file.AccessDeniedException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.Files;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.LogStore;
import org.hemlockrack.consensus.RecoveredState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * A log store in the files of one folder: {@code meta} (replica id, term, vote, newest segment),
 * log segments and one snapshot.
 *
 * <p>{@code meta} names the newest segment so that the loss of that file is detected. Otherwise a
 * shorter log would look complete, and the replica could vote for a leader that lacks entries which
 * this replica has acknowledged. Segments after the newest one are left over from a truncation, or
 * from a creation that was interrupted before {@code meta} was written.
 */
public final class FileLogStore implements LogStore {
    /** A segment of this size gets no more entries; compaction removes whole segments. */
    private static final long SEGMENT_BYTES = 4 << 20;

    private static final String DAMAGED_SUBFOLDER = "damaged";

    private final Path mPath;
    private final long mSegmentBytes;
    private final long mSalt;
    private final DataFolder mFolder;
    private final SnapshotFile mSnapshot;
    private final List<LogSegment> mSegments = new ArrayList<>();
    private HardState mHardState;
    private long mNewestSegmentBase;
    private @Nullable RecoveredState mRecovered;

    private FileLogStore(
            Path path, long segmentBytes, long salt, DataFolder folder, HardState initial) {
        mPath = path;
        mSegmentBytes = segmentBytes;
        mSalt = salt;
        mFolder = folder;
        mSnapshot = new SnapshotFile(folder);
        mHardState = initial;
    }

    /**
     * Opens a folder; see {@link LogStore#open}.
     *
     * @param path the folder
     * @param random source for the id of a new replica
     * @return the store
     */
    public static FileLogStore open(Path path, RandomGenerator random) {
        return open(path, random, SEGMENT_BYTES);
    }

    /** Opens a folder whose segments get no more entries from a size on. */
    static FileLogStore open(Path path, RandomGenerator random, long segmentBytes) {
        return open(path, random, segmentBytes, false);
    }

    /**
     * Opens a damaged folder as a new replica; see {@link LogStore#openDamaged}.
     *
     * @param path the folder
     * @param random source for the id of the new replica
     * @return the store
     */
    public static FileLogStore openDamaged(Path path, RandomGenerator random) {
        return open(path, random, SEGMENT_BYTES, true);
    }

    private static FileLogStore open(
            Path path, RandomGenerator random, long segmentBytes, boolean moveOldFilesAside) {
        try {
            DataFolder folder = DataFolder.lock(path);
            FileLogStore store =
                    new FileLogStore(
                            path,
                            segmentBytes,
                            random.nextLong(),
                            folder,
                            HardState.fresh(newId(random)));
            try {
                if (moveOldFilesAside) {
                    folder.moveFilesTo(DAMAGED_SUBFOLDER);
                }
                store.load();
                return store;
            } catch (IOException | RuntimeException e) {
                store.close();
                throw e;
            }
        } catch (IOException e) {
            throw ioFailure(path, e);
        }
    }

    private static long newId(RandomGenerator random) {
        long id = random.nextLong();
        while (id == 0) {
            id = random.nextLong();
        }
        return id;
    }

    private static HemlockrackException ioFailure(Path path, IOException cause) {
        boolean isUnusable =
                cause instanceof AccessDeniedException
                        || cause instanceof FileAlreadyExistsException
                        || cause instanceof NotDirectoryException;
        return HemlockrackException.of(
                isUnusable ? ErrorKind.SETTINGS_INVALID : ErrorKind.STORAGE_FAILED,
                String.format(ErrorText.STORE_FAILED, path, cause),
                cause);
    }

    private void load() throws IOException {
        Path file = mFolder.resolve(MetaFile.NAME);
        // A newer form is refused before anything is changed.
        MetaFile meta = Files.exists(file) ? MetaFile.read(mPath, file) : null;
        mFolder.deleteTemporaryFiles(MetaFile.NAME, "");
        mFolder.deleteTemporaryFiles(LogSegment.PREFIX, LogSegment.SUFFIX);
        if (meta == null) {
            requireNoOtherFiles(file);
            mFolder.syncParent();
            writeMetaFile();
        } else {
            mHardState = meta.hardState();
            mNewestSegmentBase = meta.newestSegment();
            // A process may have ended after a rename that no sync has covered.
            mFolder.sync();
            if (meta.formVersion() == MetaFile.LEGACY_FORM_VERSION) {
                convertSegments();
            }
        }
        deleteSegmentsAfterNewest();
        mSnapshot.open();
        SnapshotMeta snapshot = mSnapshot.meta();
        List<Entry> entries = loadSegments(segmentNames(), snapshot);
        mRecovered = new RecoveredState(mHardState, snapshot, entries);
    }

    private List<String> segmentNames() throws IOException {
        return mFolder.fileNames(LogSegment.PREFIX, LogSegment.SUFFIX);
    }

    private void requireNoOtherFiles(Path file) throws IOException {
        if (!segmentNames().isEmpty()
                || !mFolder.fileNames(SnapshotFile.PREFIX, SnapshotFile.SUFFIX).isEmpty()) {
            throw RecordFormat.missing(file);
        }
    }

    /**
     * Converts the segments of version 1 one by one. The meta file states the new version last, so
     * that a conversion that was interrupted goes on at the next opening.
     */
    private void convertSegments() throws IOException {
        List<String> names = segmentNames();
        requireNewestSegment(names);
        mFolder.syncParent();
        for (int i = 0; i < names.size(); i++) {
            LogSegment.convert(mFolder, names.get(i), i == names.size() - 1, mSalt);
        }
        // Version 1 may hold entries in a segment that its meta file does not name yet.
        recordNewestSegment(
                names.isEmpty() ? 0 : LogSegment.baseIndex(names.get(names.size() - 1)));
    }

    private void deleteSegmentsAfterNewest() throws IOException {
        for (String name : segmentNames()) {
            if (LogSegment.baseIndex(name) > mNewestSegmentBase) {
                mFolder.delete(name);
            }
        }
    }

    private void requireNewestSegment(List<String> names) {
        if (mNewestSegmentBase != 0 && !names.contains(LogSegment.name(mNewestSegmentBase))) {
            throw RecordFormat.missing(mFolder.resolve(LogSegment.name(mNewestSegmentBase)));
        }
    }

    private List<Entry> loadSegments(List<String> names, @Nullable SnapshotMeta snapshot)
            throws IOException {
        List<Entry> entries = new ArrayList<>();
        requireNewestSegment(names);
        long snapshotIndex = snapshot == null ? 0 : snapshot.index();
        for (String name : names) {
            boolean newest = name.equals(names.get(names.size() - 1));
            boolean isContiguous = entries.isEmpty() || nextIndex() == LogSegment.baseIndex(name);
            if (!isContiguous) {
                requireCoveredBySnapshot(name, snapshotIndex);
                entries.clear();
                dropSegmentsFrom(0);
            }
            mSegments.add(LogSegment.open(mFolder, name, newest, entries));
        }
        if (!mSegments.isEmpty()) {
            requireCoveredBySnapshot(mSegments.get(0).name(), snapshotIndex);
        }
        if (snapshot != null && !isContinuousWith(snapshot, entries)) {
            resetLog(snapshotIndex + 1);
            entries.clear();
        }
        return entries;
    }

    private long nextIndex() {
        return mSegments.get(mSegments.size() - 1).lastIndex() + 1;
    }

    /**
     * Requires that the snapshot covers all entries before a segment; otherwise files are missing.
     */
    private void requireCoveredBySnapshot(String name, long snapshotIndex) {
        if (LogSegment.baseIndex(name) > snapshotIndex + 1) {
            throw RecordFormat.missing(mFolder.resolve(LogSegment.name(snapshotIndex + 1)));
        }
    }

    /**
     * Returns whether the log continues the snapshot. A log that lacks the snapshot's last entry or
     * has another one at its index is left over from a snapshot installation that a crash
     * interrupted, and has to be dropped.
     */
    private boolean isContinuousWith(SnapshotMeta snapshot, List<Entry> entries) {
        if (entries.isEmpty()) {
            return !mSegments.isEmpty() && nextIndex() == snapshot.index() + 1;
        }
        long position = snapshot.index() - entries.get(0).index();
        if (position == -1) {
            return true;
        }
        return position < entries.size() && entries.get((int) position).term() == snapshot.term();
    }

    private void writeMetaFile() throws IOException {
        MetaFile meta = new MetaFile(MetaFile.FORM_VERSION, mHardState, mNewestSegmentBase);
        mFolder.replace(MetaFile.NAME, meta.encode());
    }

    @Override
    public RecoveredState recovered() {
        RecoveredState recovered = mRecovered;
        if (recovered == null) {
            throw new IllegalStateException("the store is not loaded");
        }
        return recovered;
    }

    @Override
    public void saveHardState(HardState hardState) {
        runOrFail(
                () -> {
                    mHardState = hardState;
                    writeMetaFile();
                });
    }

    @Override
    public void append(List<Entry> entries) {
        runOrFail(
                () -> {
                    prepareAppendAt(entries.get(0).index());
                    int next = 0;
                    while (next < entries.size()) {
                        next = writableSegment().append(entries, next, mSegmentBytes);
                    }
                });
    }

    private void prepareAppendAt(long index) throws IOException {
        if (mSegments.isEmpty() || index > nextIndex() || index < mSegments.get(0).baseIndex()) {
            resetLog(index);
        } else if (index < nextIndex()) {
            truncateFrom(index);
        }
    }

    private void truncateFrom(long index) throws IOException {
        int keptCount = mSegments.size();
        while (keptCount > 1 && mSegments.get(keptCount - 1).baseIndex() >= index) {
            keptCount--;
        }
        if (keptCount < mSegments.size()) {
            recordNewestSegment(mSegments.get(keptCount - 1).baseIndex());
            dropSegmentsFrom(keptCount);
            mFolder.sync();
        }
        mSegments.get(keptCount - 1).replaceFrom(index);
    }

    /** Returns the newest segment, or a new one if it is full; the meta file names it. */
    private LogSegment writableSegment() throws IOException {
        LogSegment newest = mSegments.get(mSegments.size() - 1);
        if (newest.isFull(mSegmentBytes)) {
            newest.sync();
            newest = LogSegment.create(mFolder, newest.lastIndex() + 1, mSalt);
            mSegments.add(newest);
        }
        // It differs also after an earlier write of the meta file was refused.
        if (newest.baseIndex() != mNewestSegmentBase) {
            recordNewestSegment(newest.baseIndex());
        }
        return newest;
    }

    private void recordNewestSegment(long base) throws IOException {
        mNewestSegmentBase = base;
        writeMetaFile();
    }

    /** Drops the whole log and creates a segment that starts at an index. */
    private void resetLog(long firstIndex) throws IOException {
        recordNewestSegment(0);
        dropSegmentsFrom(0);
        mFolder.sync();
        mSegments.add(LogSegment.create(mFolder, firstIndex, mSalt));
        recordNewestSegment(firstIndex);
    }

    /** Removes segments from a list position on, newest first, so that a crash leaves no gap. */
    private void dropSegmentsFrom(int position) throws IOException {
        while (mSegments.size() > position) {
            LogSegment segment = mSegments.remove(mSegments.size() - 1);
            segment.close();
            mFolder.delete(segment.name());
        }
    }

    @Override
    public void sync() {
        runOrFail(
                () -> {
                    if (!mSegments.isEmpty()) {
                        mSegments.get(mSegments.size() - 1).sync();
                    }
                });
    }

    @Override
    public void saveSnapshot(SnapshotMeta meta, byte[] state) {
        runOrFail(() -> mSnapshot.save(meta, state));
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
            throw ioFailure(mPath, e);
        }
    }

    @Override
    public void storeChunk(SnapshotMeta meta, long offset, byte[] data) {
        runOrFail(() -> mSnapshot.storeChunk(offset, data));
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
            throw ioFailure(mPath, e);
        }
    }

    @Override
    public void compact(long firstIndex) {
        runOrFail(
                () -> {
                    while (mSegments.size() > 1 && mSegments.get(0).lastIndex() < firstIndex) {
                        LogSegment oldest = mSegments.remove(0);
                        oldest.close();
                        mFolder.delete(oldest.name());
                    }
                });
    }

    private void runOrFail(IoAction action) {
        try {
            action.run();
        } catch (IOException e) {
            throw ioFailure(mPath, e);
        }
    }

    @Override
    public void close() {
        Closer closer = Closer.create();
        // Registered first, so closed last: nobody else may open the files before.
        closer.register(mFolder);
        closer.register(mSnapshot::closePartFile);
        mSegments.forEach(closer::register);
        runOrFail(closer::close);
    }

    /** An action that may fail with an I/O error. */
    private interface IoAction {
        void run() throws IOException;
    }
}
