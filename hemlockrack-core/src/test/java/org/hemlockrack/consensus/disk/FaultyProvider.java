package org.hemlockrack.consensus.disk;

import java.io.IOException;
import java.net.URI;
import java.nio.channels.FileChannel;
import java.nio.channels.SeekableByteChannel;
import java.nio.file.AccessMode;
import java.nio.file.CopyOption;
import java.nio.file.DirectoryIteratorException;
import java.nio.file.DirectoryStream;
import java.nio.file.FileStore;
import java.nio.file.FileSystem;
import java.nio.file.Files;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardOpenOption;
import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileAttribute;
import java.nio.file.attribute.FileAttributeView;
import java.nio.file.spi.FileSystemProvider;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.Set;

/** Passes operations on to the default file system unless the {@link FaultyDisk} refuses them. */
final class FaultyProvider extends FileSystemProvider {
    private final FaultyFileSystem mFileSystem;
    private final FaultyDisk mDisk;

    FaultyProvider(FaultyFileSystem fileSystem, FaultyDisk disk) {
        mFileSystem = fileSystem;
        mDisk = disk;
    }

    private static Path unwrap(Path path) {
        return FaultyPath.unwrap(path);
    }

    @Override
    public String getScheme() {
        return "faulty";
    }

    @Override
    public FileSystem newFileSystem(URI uri, Map<String, ?> env) {
        throw new UnsupportedOperationException();
    }

    @Override
    public FileSystem getFileSystem(URI uri) {
        return mFileSystem;
    }

    @Override
    public Path getPath(URI uri) {
        return mFileSystem.wrap(Path.of(uri));
    }

    @Override
    public SeekableByteChannel newByteChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws IOException {
        return newFileChannel(path, options, attributes);
    }

    @Override
    public FileChannel newFileChannel(
            Path path, Set<? extends OpenOption> options, FileAttribute<?>... attributes)
            throws IOException {
        Path file = unwrap(path);
        boolean writes = options.contains(StandardOpenOption.WRITE);
        boolean isNew = writes && !Files.exists(file);
        if (!writes) {
            mDisk.check(DiskOperation.READ);
        } else if (isNew) {
            mDisk.check(DiskOperation.CREATE);
        }
        long sizeBytes = isNew || Files.isDirectory(file) ? 0 : Files.size(file);
        if (sizeBytes > 0 && options.contains(StandardOpenOption.TRUNCATE_EXISTING)) {
            mDisk.check(DiskOperation.TRUNCATE);
            mDisk.truncated(file, 0);
        }
        FileChannel channel = FileChannel.open(file, options, attributes);
        return new FaultyChannel(mDisk, file, channel);
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(
            Path folder, DirectoryStream.Filter<? super Path> filter) throws IOException {
        List<Path> paths = new ArrayList<>();
        try (DirectoryStream<Path> files = Files.newDirectoryStream(unwrap(folder))) {
            for (Path file : files) {
                paths.add(mFileSystem.wrap(file));
            }
        }
        return new DirectoryStream<>() {
            @Override
            public Iterator<Path> iterator() {
                try {
                    mDisk.check(DiskOperation.LIST);
                } catch (IOException e) {
                    throw new DirectoryIteratorException(e);
                }
                return paths.iterator();
            }

            @Override
            public void close() {}
        };
    }

    @Override
    public void createDirectory(Path folder, FileAttribute<?>... attributes) throws IOException {
        if (!Files.exists(unwrap(folder))) {
            mDisk.check(DiskOperation.CREATE);
        }
        Files.createDirectory(unwrap(folder), attributes);
    }

    @Override
    public void delete(Path path) throws IOException {
        mDisk.check(DiskOperation.DELETE);
        Files.delete(unwrap(path));
        mDisk.deleted(unwrap(path));
    }

    @Override
    public void copy(Path source, Path target, CopyOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void move(Path source, Path target, CopyOption... options) throws IOException {
        mDisk.check(DiskOperation.RENAME);
        Files.move(unwrap(source), unwrap(target), options);
        mDisk.renamed(unwrap(source), unwrap(target));
    }

    @Override
    public boolean isSameFile(Path path, Path other) throws IOException {
        return Files.isSameFile(unwrap(path), unwrap(other));
    }

    @Override
    public boolean isHidden(Path path) throws IOException {
        return Files.isHidden(unwrap(path));
    }

    @Override
    public FileStore getFileStore(Path path) throws IOException {
        return Files.getFileStore(unwrap(path));
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws IOException {
        Path file = unwrap(path);
        file.getFileSystem().provider().checkAccess(file, modes);
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(
            Path path, Class<V> type, LinkOption... options) {
        return Files.getFileAttributeView(unwrap(path), type, options);
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(
            Path path, Class<A> type, LinkOption... options) throws IOException {
        return Files.readAttributes(unwrap(path), type, options);
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String names, LinkOption... options)
            throws IOException {
        return Files.readAttributes(unwrap(path), names, options);
    }

    @Override
    public void setAttribute(Path path, String name, Object value, LinkOption... options)
            throws IOException {
        Files.setAttribute(unwrap(path), name, value, options);
    }
}
