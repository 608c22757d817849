package org.hemlockrack.consensus.disk;

import java.io.IOException;
import java.nio.file.DirectoryNotEmptyException;
import java.nio.file.FileAlreadyExistsException;
import java.nio.file.NoSuchFileException;
import java.nio.file.NotDirectoryException;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.BiPredicate;
import java.util.function.Predicate;
import java.util.random.RandomGenerator;
import org.jspecify.annotations.Nullable;

/**
 * A disk in memory that refuses operations on request and loses power. It is used through a file
 * system of {@code java.nio.file}, so that the code under test is the same as on a real disk.
 *
 * <p>Of each file it knows what a sync has covered and each change since. A file's own sync makes
 * its creation durable; a rename or removal is durable after a sync of the folder. A loss of power
 * keeps, loses or tears each later change, see {@link PowerLoss}.
 */
public final class FaultyDisk {
    /** Decides which operations fail. */
    @FunctionalInterface
    public interface Faults {
        /**
         * Returns whether an operation fails. May throw {@link PowerLostException}.
         *
         * @param operation the operation
         * @param number how many operations came before it
         */
        boolean refuses(DiskOperation operation, long number);
    }

    /** Ends the process that uses a disk, as its machine has lost power. */
    public static final class PowerLostException extends RuntimeException {
        private static final long serialVersionUID = 1L;
    }

    /** Fails nothing. */
    public static final Faults NONE = (operation, number) -> false;

    private final FaultyFileSystem mFileSystem = new FaultyFileSystem(this);
    private final Map<Path, FaultyFile> mNames = new TreeMap<>();
    private final Map<Path, FaultyFile> mDurableNames = new TreeMap<>();
    private final List<NameChange> mUnsyncedNames = new ArrayList<>();
    private final Set<FaultyChannel> mChannels = new HashSet<>();
    private final RandomGenerator mRandom;
    private Faults mFaults = NONE;
    private BiPredicate<DiskOperation, Path> mIgnoredSyncs = (operation, file) -> false;
    private PowerLoss mFailedSync = PowerLoss.LOSES_ALL;
    private long mOperations;

    /** Share of a refused write that reaches the file all the same, in 16ths. */
    private int mTornSixteenths;

    private FaultyDisk(RandomGenerator random) {
        mRandom = random;
    }

    /** Returns an empty disk without faults. */
    public static FaultyDisk create() {
        return create(new SplittableRandom(1));
    }

    /**
     * Returns an empty disk without faults.
     *
     * @param random decides what losses of power leave
     */
    public static FaultyDisk create(RandomGenerator random) {
        return new FaultyDisk(random);
    }

    /**
     * Returns the path of a folder on this disk, which it creates durably.
     *
     * @param folder the absolute path; nothing of the default file system is used
     */
    public Path path(Path folder) {
        for (Path each = folder; each != null; each = each.getParent()) {
            if (!mNames.containsKey(each)) {
                FaultyFile file = new FaultyFile(true);
                mNames.put(each, file);
                mDurableNames.put(each, file);
            }
        }
        return mFileSystem.wrap(folder);
    }

    /** Replaces the rule which operations fail, and counts from 0 again. */
    public void setFaults(Faults faults) {
        mFaults = faults;
        mOperations = 0;
    }

    /** Loses power at an operation; {@link #losePower} then decides what is left. */
    public void losePowerAt(long operationNumber) {
        setFaults(
                (operation, number) -> {
                    if (number >= operationNumber) {
                        throw new PowerLostException();
                    }
                    return false;
                });
    }

    /** Refuses all operations that need space, or none. */
    public void setFull(boolean full) {
        setFaults(full ? (operation, number) -> operation.needsSpace() : NONE);
    }

    /** Sets how much of a refused write reaches the file, in 16ths of its bytes. */
    public void setTornSixteenths(int sixteenths) {
        mTornSixteenths = sixteenths;
    }

    /** Sets which syncs succeed without an effect; for tests of tests. */
    public void setIgnoredSyncs(BiPredicate<DiskOperation, Path> ignored) {
        mIgnoredSyncs = ignored;
    }

    /** Sets what a failed sync leaves of the changes before it at a later loss of power. */
    public void setFailedSync(PowerLoss loss) {
        mFailedSync = loss;
    }

    /** Returns the number of operations since {@link #setFaults}. */
    public long operations() {
        return mOperations;
    }

    /** Returns the number of files that are open. */
    public int openChannels() {
        return mChannels.size();
    }

    /** Ends the process that uses the disk; what it has written can be read by the next one. */
    public void killProcess() {
        for (FaultyChannel channel : List.copyOf(mChannels)) {
            channel.abandon();
        }
        mChannels.clear();
    }

    /** Loses power, which also ends the process that uses the disk. */
    public void losePower(PowerLoss loss) {
        killProcess();
        for (NameChange change : mUnsyncedNames) {
            if (loss.keeps(mRandom)) {
                change.applyTo(mDurableNames);
            }
        }
        mUnsyncedNames.clear();
        for (Path path : List.copyOf(mDurableNames.keySet())) {
            keepFoldersOf(path);
        }
        mDurableNames.values().forEach(file -> file.losePower(loss, mRandom));
        mNames.clear();
        mNames.putAll(mDurableNames);
    }

    /** Keeps the folders of a file that is kept. */
    private void keepFoldersOf(Path path) {
        for (Path each = path.getParent(); each != null; each = each.getParent()) {
            mDurableNames.computeIfAbsent(each, folder -> new FaultyFile(true));
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

    void opened(FaultyChannel channel) {
        mChannels.add(channel);
    }

    void closed(FaultyChannel channel) {
        mChannels.remove(channel);
    }

    void sync(Path path, FaultyFile file) throws IOException {
        DiskOperation operation = file.isFolder() ? DiskOperation.SYNC_FOLDER : DiskOperation.SYNC;
        try {
            check(operation);
        } catch (IOException e) {
            file.failSync(mFailedSync, mRandom);
            throw e;
        }
        if (mIgnoredSyncs.test(operation, path)) {
            return;
        }
        file.sync();
        makeDurable(change -> change.isCreationOf(file));
        if (file.isFolder()) {
            makeDurable(change -> change.isIn(path));
        }
    }

    private void makeDurable(Predicate<NameChange> selected) {
        for (NameChange change : List.copyOf(mUnsyncedNames)) {
            if (selected.test(change)) {
                change.applyTo(mDurableNames);
                mUnsyncedNames.remove(change);
            }
        }
    }

    @Nullable FaultyFile find(Path path) {
        return mNames.get(path);
    }

    FaultyFile get(Path path) throws IOException {
        FaultyFile file = mNames.get(path);
        if (file == null) {
            throw new NoSuchFileException(path.toString());
        }
        return file;
    }

    FaultyFile create(Path path, boolean isFolder) throws IOException {
        if (mNames.containsKey(path)) {
            throw new FileAlreadyExistsException(path.toString());
        }
        if (!get(path.getParent()).isFolder()) {
            throw new NotDirectoryException(path.getParent().toString());
        }
        check(DiskOperation.CREATE);
        FaultyFile file = new FaultyFile(isFolder);
        rename(NameChange.create(path, file));
        return file;
    }

    private void rename(NameChange change) {
        change.applyTo(mNames);
        mUnsyncedNames.add(change);
    }

    /** Returns the sorted paths of the files in a folder. */
    List<Path> list(Path folder) throws IOException {
        if (!get(folder).isFolder()) {
            throw new NotDirectoryException(folder.toString());
        }
        return mNames.keySet().stream().filter(path -> folder.equals(path.getParent())).toList();
    }

    void move(Path from, Path to, boolean replaces) throws IOException {
        check(DiskOperation.RENAME);
        FaultyFile file = get(from);
        if (file.isFolder()) {
            throw new UnsupportedOperationException("folders are not moved");
        }
        if (!replaces && mNames.containsKey(to)) {
            throw new FileAlreadyExistsException(to.toString());
        }
        rename(new NameChange(from, to, file));
    }

    void delete(Path path) throws IOException {
        check(DiskOperation.DELETE);
        FaultyFile file = get(path);
        if (file.isFolder() && !list(path).isEmpty()) {
            throw new DirectoryNotEmptyException(path.toString());
        }
        rename(new NameChange(path, null, file));
    }
}
