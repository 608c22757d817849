package org.hemlockrack.consensus.disk;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** A file or folder of a {@link FaultyDisk}, apart from its names. */
final class FaultyFile {
    /** A change of the content that no sync has covered. */
    private sealed interface Change {
        void applyTo(FileContent content);

        /** Applies what a loss of power leaves of the change. */
        void applyTo(FileContent content, PowerLoss loss, RandomGenerator random);
    }

    private record Write(long offset, byte[] bytes) implements Change {
        @Override
        public void applyTo(FileContent content) {
            content.write(offset, bytes, 0, bytes.length);
        }

        @Override
        public void applyTo(FileContent content, PowerLoss loss, RandomGenerator random) {
            switch (loss.ofWrite(random)) {
                case KEPT -> applyTo(content);
                case PREFIX -> {
                    content.write(offset, bytes, 0, random.nextInt(bytes.length + 1));
                    // The size of a file may reach the disk before its bytes.
                    if (random.nextBoolean()) {
                        content.extend(offset + bytes.length);
                    }
                }
                case SUFFIX ->
                        content.write(
                                offset, bytes, random.nextInt(bytes.length + 1), bytes.length);
                default -> {}
            }
        }
    }

    private record Truncate(long sizeBytes) implements Change {
        @Override
        public void applyTo(FileContent content) {
            content.truncate(sizeBytes);
        }

        @Override
        public void applyTo(FileContent content, PowerLoss loss, RandomGenerator random) {
            if (loss.keeps(random)) {
                applyTo(content);
            }
        }
    }

    private final boolean mIsFolder;
    private final FileContent mDurable = new FileContent();
    private final List<Change> mUnsynced = new ArrayList<>();
    private FileContent mContent = new FileContent();
    private boolean mIsLocked;

    FaultyFile(boolean isFolder) {
        mIsFolder = isFolder;
    }

    boolean isFolder() {
        return mIsFolder;
    }

    int sizeBytes() {
        return mContent.sizeBytes();
    }

    int read(long position, ByteBuffer target) {
        return mContent.read(position, target);
    }

    void write(long position, byte[] bytes) {
        change(new Write(position, bytes));
    }

    void truncate(long sizeBytes) {
        change(new Truncate(sizeBytes));
    }

    private void change(Change change) {
        change.applyTo(mContent);
        mUnsynced.add(change);
    }

    void sync() {
        mUnsynced.forEach(change -> change.applyTo(mDurable));
        mUnsynced.clear();
    }

    /**
     * Ends a sync that fails. The writes before it can still be read, but no later sync covers
     * them, as on file systems that drop the pages of a failed write.
     */
    void failSync(PowerLoss loss, RandomGenerator random) {
        mUnsynced.forEach(change -> change.applyTo(mDurable, loss, random));
        mUnsynced.clear();
    }

    void losePower(PowerLoss loss, RandomGenerator random) {
        failSync(loss, random);
        mContent = mDurable.copy();
        mIsLocked = false;
    }

    /** Returns false if the file is locked. */
    boolean lock() {
        boolean isFree = !mIsLocked;
        mIsLocked = true;
        return isFree;
    }

    void unlock() {
        mIsLocked = false;
    }
}
