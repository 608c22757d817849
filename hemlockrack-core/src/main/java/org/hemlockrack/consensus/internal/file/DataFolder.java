package org.hemlockrack.consensus.internal.file;

import java.io.Closeable;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.channels.FileLock;
import java.nio.channels.OverlappingFileLockException;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** A locked data folder with operations that survive a crash at any point. */
final class DataFolder implements Closeable {
    static final String LOCK = "lock";
    static final String TEMP_SUFFIX = ".tmp";

    private final Path mPath;
    private final FileChannel mLock;

    private DataFolder(Path path, FileChannel lock) {
        mPath = path;
        mLock = lock;
    }

    static DataFolder lock(Path path) throws IOException {
        createDurably(path);
        FileChannel channel =
                FileChannel.open(
                        path.resolve(LOCK), StandardOpenOption.CREATE, StandardOpenOption.WRITE);
        try {
            if (tryLock(channel) == null) {
                throw HemlockrackException.of(
                        ErrorKind.NOT_READY, String.format(ErrorText.STORE_LOCKED, path));
            }
            return new DataFolder(path, channel);
        } catch (IOException | RuntimeException e) {
            channel.close();
            throw e;
        }
    }

    private static void createDurably(Path folder) throws IOException {
        if (Files.isDirectory(folder)) {
            return;
        }
        Path parent = folder.toAbsolutePath().getParent();
        if (parent != null) {
            createDurably(parent);
        }
        Files.createDirectories(folder);
        if (parent != null) {
            sync(parent);
        }
    }

    private static @Nullable FileLock tryLock(FileChannel channel) throws IOException {
        try {
            return channel.tryLock();
        } catch (OverlappingFileLockException e) {
            return null; // This process holds the lock.
        }
    }

    Path resolve(String name) {
        return mPath.resolve(name);
    }

    /** Returns the sorted names of the files with a prefix and a suffix. */
    List<String> fileNames(String prefix, String suffix) throws IOException {
        return fileNames(mPath, prefix, suffix);
    }

    /** Returns the sorted names of the files in a folder with a prefix and a suffix. */
    static List<String> fileNames(Path folder, String prefix, String suffix) throws IOException {
        List<String> names = new ArrayList<>();
        for (Path file : files(folder)) {
            String name = file.getFileName().toString();
            if (name.startsWith(prefix) && name.endsWith(suffix)) {
                names.add(name);
            }
        }
        names.sort(null);
        return names;
    }

    private static List<Path> files(Path folder) throws IOException {
        List<Path> paths = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(folder)) {
            files.forEach(paths::add);
        } catch (DirectoryIteratorException e) {
            throw e.getCause();
        }
        return paths;
    }

    void sync() throws IOException {
        sync(mPath);
    }

    private static void sync(Path folder) throws IOException {
        try (FileChannel channel = FileChannel.open(folder, StandardOpenOption.READ)) {
            channel.force(true);
        }
    }

    /** Makes the name of the folder durable, which a process may have created before it ended. */
    void syncParent() throws IOException {
        Path parent = mPath.toAbsolutePath().getParent();
        // A folder that others have created may be in one that cannot be read.
        if (parent != null && Files.isReadable(parent)) {
            sync(parent);
        }
    }

    /** Writes a file so that after a crash it holds either the old or the new content. */
    void replace(String name, ByteBuffer... parts) throws IOException {
        Path temp = mPath.resolve(name + TEMP_SUFFIX);
        try {
            writeDurably(temp, parts);
            rename(temp, name);
        } catch (IOException e) {
            deleteAfter(e, temp);
            throw e;
        }
    }

    private static void writeDurably(Path file, ByteBuffer... parts) throws IOException {
        try (FileChannel channel =
                FileChannel.open(
                        file,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            for (ByteBuffer part : parts) {
                writeFully(channel, part);
            }
            channel.force(true);
        }
    }

    /** Gives back the space of a file that was not written to its end. */
    private static void deleteAfter(IOException cause, Path file) {
        try {
            Files.deleteIfExists(file);
        } catch (IOException e) {
            cause.addSuppressed(e);
        }
    }

    /**
     * Removes the files that a process left behind when it ended during {@link #replace} of files
     * with a prefix and a suffix.
     */
    void deleteTemporaryFiles(String prefix, String suffix) throws IOException {
        for (String name : fileNames(prefix, suffix + TEMP_SUFFIX)) {
            delete(name);
        }
    }

    /** Durably renames a synced file within the folder. */
    void rename(Path from, String name) throws IOException {
        Files.move(
                from,
                mPath.resolve(name),
                StandardCopyOption.ATOMIC_MOVE,
                StandardCopyOption.REPLACE_EXISTING);
        sync();
    }

    void delete(String name) throws IOException {
        Files.deleteIfExists(mPath.resolve(name));
    }

    /** Moves all files except the lock to a subfolder, after removing the subfolder's content. */
    void moveFilesTo(String subfolder) throws IOException {
        Path target = mPath.resolve(subfolder);
        Files.createDirectories(target);
        for (Path file : files(target)) {
            Files.delete(file);
        }
        // The meta file goes first and durably: after a crash in between, a folder without it
        // still counts as damaged, while one with nothing else would be an empty log.
        List<String> names = fileNames("", "");
        names.sort((a, b) -> Boolean.compare(b.equals(MetaFile.NAME), a.equals(MetaFile.NAME)));
        for (String name : names) {
            if (!name.equals(LOCK) && !name.equals(subfolder)) {
                Files.move(mPath.resolve(name), target.resolve(name));
                if (name.equals(MetaFile.NAME)) {
                    sync();
                }
            }
        }
        sync();
    }

    static void writeFully(FileChannel channel, ByteBuffer bytes) throws IOException {
        while (bytes.hasRemaining()) {
            channel.write(bytes);
        }
    }

    @Override
    public void close() throws IOException {
        mLock.close();
    }
}
