package org.hemlockrack.consensus.disk;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * A disk that refuses operations on request and loses power. Its files are in a folder of the
 * default file system and are used through a file system of {@code java.nio.file}, so that the code
 * under test is the same as on a real disk.
 *
 * <p>Of each file it knows what a sync has covered. A sync that fails leaves the writes before it
 * readable, but no later sync covers them, as on file systems that drop the pages of a failed
 * write. Names of files are durable at once.
 */
public final class FaultyDisk {
    /** Decides which operations fail. */
    @FunctionalInterface
    public interface Faults {
        /**
         * Returns whether an operation fails.
         *
         * @param operation the operation
         * @param number how many operations came before it
         */
        boolean refuses(DiskOperation operation, long number);
    }

    /** Fails nothing. */
    public static final Faults NONE = (operation, number) -> false;

    /** A change of a file that no sync has covered. */
    private sealed interface Change {
        record Write(long offset, byte[] bytes) implements Change {}

        record Truncate(long sizeBytes) implements Change {}
    }

    private static final class FileState {
        private byte[] mDurable = new byte[0];
        private final List<Change> mUnsynced = new ArrayList<>();
    }

    private final FaultyFileSystem mFileSystem;
    private final Map<Path, FileState> mFiles = new HashMap<>();
    private Faults mFaults = NONE;
    private long mOperations;
    private int mOpenChannels;

    /** Share of a refused write that reaches the file all the same, in 16ths. */
    private int mTornSixteenths;

    private FaultyDisk() {
        mFileSystem = new FaultyFileSystem(this);
    }

    /** Returns an empty disk without faults. */
    public static FaultyDisk create() {
        return new FaultyDisk();
    }

    /**
     * Returns the path of a folder on this disk.
     *
     * @param folder an existing folder of the default file system, which holds the files
     */
    public Path path(Path folder) {
        return mFileSystem.wrap(folder);
    }

    /** Replaces the rule which operations fail, and counts from 0 again. */
    public void setFaults(Faults faults) {
        mFaults = faults;
        mOperations = 0;
    }

    /** Refuses all operations that need space, or none. */
    public void setFull(boolean full) {
        setFaults(full ? (operation, number) -> operation.needsSpace() : NONE);
    }

    /** Sets how much of a refused write reaches the file, in 16ths of its bytes. */
    public void setTornSixteenths(int sixteenths) {
        mTornSixteenths = sixteenths;
    }

    /** Returns the number of operations since {@link #setFaults}. */
    public long operations() {
        return mOperations;
    }

    /** Returns the number of files that are open. */
    public int openChannels() {
        return mOpenChannels;
    }

    /**
     * Loses power: each file holds what its last successful sync covered, and nothing that was
     * written later.
     *
     * @throws IOException if the files cannot be written
     */
    public void losePower() throws IOException {
        for (Map.Entry<Path, FileState> file : mFiles.entrySet()) {
            file.getValue().mUnsynced.clear();
            if (Files.exists(file.getKey())) {
                Files.write(file.getKey(), file.getValue().mDurable);
            }
        }
    }

    void check(DiskOperation operation) throws IOException {
        if (mFaults.refuses(operation, mOperations++)) {
            throw new IOException("No space left on device");
        }
    }

    boolean refusesWrite() {
        return mFaults.refuses(DiskOperation.WRITE, mOperations++);
    }

    /** Returns how many bytes of a refused write reach the file. */
    int tornBytes(int bytes) {
        return (int) ((long) bytes * mTornSixteenths / 16);
    }

    void opened() {
        mOpenChannels++;
    }

    void closed() {
        mOpenChannels--;
    }

    void written(Path file, long offset, ByteBuffer bytes) {
        byte[] copy = new byte[bytes.remaining()];
        bytes.duplicate().get(copy);
        state(file).mUnsynced.add(new Change.Write(offset, copy));
    }

    void truncated(Path file, long sizeBytes) {
        state(file).mUnsynced.add(new Change.Truncate(sizeBytes));
    }

    void sync(Path file) throws IOException {
        FileState state = state(file);
        try {
            check(DiskOperation.SYNC);
            for (Change change : state.mUnsynced) {
                state.mDurable = apply(state.mDurable, change);
            }
        } finally {
            state.mUnsynced.clear();
        }
    }

    private static byte[] apply(byte[] content, Change change) {
        if (change instanceof Change.Truncate truncate) {
            int sizeBytes = (int) Math.min(content.length, truncate.sizeBytes());
            return Arrays.copyOf(content, sizeBytes);
        }
        Change.Write write = (Change.Write) change;
        int end = (int) write.offset() + write.bytes().length;
        byte[] next = Arrays.copyOf(content, Math.max(content.length, end));
        System.arraycopy(write.bytes(), 0, next, (int) write.offset(), write.bytes().length);
        return next;
    }

    void renamed(Path from, Path to) {
        FileState state = mFiles.remove(from);
        if (state != null) {
            mFiles.put(to, state);
        }
    }

    void deleted(Path file) {
        mFiles.remove(file);
    }

    private FileState state(Path file) {
        return mFiles.computeIfAbsent(file, path -> new FileState());
    }
}
