package org.hemlockrack.consensus.internal.file;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.AccessDeniedException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.HardState;
import org.hemlockrack.consensus.SnapshotMeta;
import org.hemlockrack.consensus.StorageReport;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Reads the files of a folder as {@link FileLogStore} does, without changing them. */
public final class FolderCheck {
    private final Path mPath;
    private final List<StorageReport.Segment> mSegments = new ArrayList<>();
    private final List<String> mFaults = new ArrayList<>();
    private final List<String> mLeftovers = new ArrayList<>();
    private @Nullable MetaFile mMeta;
    private @Nullable SnapshotMeta mSnapshot;

    private FolderCheck(Path path) {
        mPath = path;
    }

    /**
     * Checks a folder; see {@link StorageReport#of}.
     *
     * @param path the folder
     * @return the report
     */
    public static StorageReport run(Path path) {
        if (!Files.isDirectory(path)) {
            throw unusable(path, ErrorText.STORE_NO_FOLDER);
        }
        try {
            requireUnused(path);
            return new FolderCheck(path).check();
        } catch (AccessDeniedException e) {
            throw HemlockrackException.of(
                    ErrorKind.SETTINGS_INVALID, String.format(ErrorText.STORE_FAILED, path, e), e);
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.STORAGE_FAILED, String.format(ErrorText.STORE_FAILED, path, e), e);
        }
    }

    private static HemlockrackException unusable(Path path, String text) {
        return HemlockrackException.of(ErrorKind.SETTINGS_INVALID, String.format(text, path));
    }

    private static void requireUnused(Path path) throws IOException {
        Path lock = path.resolve(DataFolder.LOCK);
        if (!Files.exists(lock)) {
            return;
        }
        boolean isUnused;
        try (FileChannel channel = FileChannel.open(lock, StandardOpenOption.WRITE)) {
            isUnused = channel.tryLock() != null;
        } catch (OverlappingFileLockException e) {
            isUnused = false;
        }
        if (!isUnused) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_READY, String.format(ErrorText.STORE_LOCKED, path));
        }
    }

    private StorageReport check() throws IOException {
        List<String> segments = names(LogSegment.PREFIX, LogSegment.SUFFIX);
        List<String> snapshots = names(SnapshotFile.PREFIX, SnapshotFile.SUFFIX);
        Path meta = mPath.resolve(MetaFile.NAME);
        if (Files.exists(meta)) {
            readMeta(meta);
        } else if (segments.isEmpty() && snapshots.isEmpty()) {
            throw unusable(mPath, ErrorText.STORE_NO_REPLICA);
        } else {
            mFaults.add(RecordFormat.missing(meta).getMessage());
        }
        readSnapshots(snapshots);
        readSegments(segments);
        findTemporaryFiles();
        HardState hardState = mMeta == null ? null : mMeta.hardState();
        int formVersion = mMeta == null ? 0 : mMeta.formVersion();
        return new StorageReport(formVersion, hardState, mSnapshot, mSegments, mFaults, mLeftovers);
    }

    private List<String> names(String prefix, String suffix) throws IOException {
        return DataFolder.fileNames(mPath, prefix, suffix);
    }

    private void readMeta(Path file) throws IOException {
        try {
            mMeta = MetaFile.read(mPath, file);
        } catch (HemlockrackException e) {
            addFault(e);
        }
    }

    /** Collects damage; anything else ends the check. */
    private void addFault(HemlockrackException e) {
        if (e.kind() != ErrorKind.STORAGE_DAMAGED) {
            throw e;
        }
        mFaults.add(e.getMessage());
    }

    private void readSnapshots(List<String> names) throws IOException {
        for (int i = 0; i < names.size(); i++) {
            if (i < names.size() - 1) {
                mLeftovers.add(names.get(i) + ": older than the newest snapshot");
                continue;
            }
            try {
                mSnapshot = SnapshotFile.verify(mPath.resolve(names.get(i)));
            } catch (HemlockrackException e) {
                addFault(e);
            }
        }
    }

    private void readSegments(List<String> names) throws IOException {
        List<String> used = new ArrayList<>();
        for (String name : names) {
            if (isAfterNewest(name)) {
                mLeftovers.add(name + ": after the newest segment");
            } else {
                used.add(name);
            }
        }
        MetaFile meta = mMeta;
        if (meta != null && meta.newestSegment() != 0) {
            requireNewest(LogSegment.name(meta.newestSegment()), used);
        }
        long snapshotIndex = mSnapshot == null ? 0 : mSnapshot.index();
        long next = snapshotIndex + 1;
        for (int i = 0; i < used.size(); i++) {
            long base = LogSegment.baseIndex(used.get(i));
            boolean isContiguous = i == 0 ? base <= next : base == next;
            if (!isContiguous && base > snapshotIndex + 1) {
                mFaults.add(
                        RecordFormat.missing(mPath.resolve(LogSegment.name(next))).getMessage());
            }
            next = readSegment(used.get(i), i == used.size() - 1);
        }
    }

    private boolean isAfterNewest(String name) {
        MetaFile meta = mMeta;
        return meta != null
                && meta.formVersion() != MetaFile.LEGACY_FORM_VERSION
                && LogSegment.baseIndex(name) > meta.newestSegment();
    }

    private void requireNewest(String name, List<String> names) {
        if (!names.contains(name)) {
            mFaults.add(RecordFormat.missing(mPath.resolve(name)).getMessage());
        }
    }

    /** Returns the index after the last entry. */
    private long readSegment(String name, boolean newest) throws IOException {
        Path path = mPath.resolve(name);
        ByteBuffer file = ByteBuffer.wrap(Files.readAllBytes(path));
        long base = LogSegment.baseIndex(name);
        try {
            SegmentContent content = read(path, file, base, newest);
            int tornBytes = file.limit() - content.validBytes();
            if (tornBytes > 0) {
                mLeftovers.add(name + ": " + tornBytes + " bytes of a torn write");
            }
            long next = base + content.entries().size();
            mSegments.add(
                    new StorageReport.Segment(
                            name, base, next - 1, content.validBytes(), content.syncedBytes()));
            return next;
        } catch (HemlockrackException e) {
            addFault(e);
            return base;
        }
    }

    private SegmentContent read(Path path, ByteBuffer file, long base, boolean newest) {
        boolean isLegacy =
                mMeta != null
                        && mMeta.formVersion() == MetaFile.LEGACY_FORM_VERSION
                        && SegmentHeader.read(file) == null;
        return isLegacy
                ? LegacySegment.read(path, file, base, newest)
                : SegmentContent.read(path, file, base, newest);
    }

    private void findTemporaryFiles() throws IOException {
        for (String name : names("", DataFolder.TEMP_SUFFIX)) {
            if (name.startsWith(MetaFile.NAME)
                    || name.startsWith(LogSegment.PREFIX)
                    || name.startsWith(SnapshotFile.PREFIX)) {
                mLeftovers.add(name + ": not written to its end");
            }
        }
    }
}
