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
import java.nio.file.FileSystemException;
import java.nio.file.LinkOption;
import java.nio.file.OpenOption;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
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

/** Passes operations on files to a {@link FaultyDisk}. */
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
        Path name = unwrap(path);
        FaultyFile file = mDisk.find(name);
        if (!options.contains(StandardOpenOption.WRITE)) {
            mDisk.check(DiskOperation.READ);
            return new FaultyChannel(mDisk, name, mDisk.get(name), options);
        }
        boolean createsAlways = options.contains(StandardOpenOption.CREATE_NEW);
        if (createsAlways || file == null && options.contains(StandardOpenOption.CREATE)) {
            return new FaultyChannel(mDisk, name, mDisk.create(name, false), options);
        }
        file = mDisk.get(name);
        if (file.isFolder()) {
            throw new FileSystemException(name.toString(), null, "is a folder");
        }
        if (file.sizeBytes() > 0 && options.contains(StandardOpenOption.TRUNCATE_EXISTING)) {
            mDisk.check(DiskOperation.TRUNCATE);
            file.truncate(0);
        }
        return new FaultyChannel(mDisk, name, file, options);
    }

    @Override
    public DirectoryStream<Path> newDirectoryStream(
            Path folder, DirectoryStream.Filter<? super Path> filter) throws IOException {
        List<Path> paths = new ArrayList<>();
        for (Path path : mDisk.list(unwrap(folder))) {
            paths.add(mFileSystem.wrap(path));
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
        mDisk.create(unwrap(folder), true);
    }

    @Override
    public void delete(Path path) throws IOException {
        mDisk.delete(unwrap(path));
    }

    @Override
    public void copy(Path source, Path target, CopyOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void move(Path source, Path target, CopyOption... options) throws IOException {
        boolean replaces = Set.of(options).contains(StandardCopyOption.REPLACE_EXISTING);
        mDisk.move(unwrap(source), unwrap(target), replaces);
    }

    @Override
    public boolean isSameFile(Path path, Path other) throws IOException {
        return mDisk.get(unwrap(path)) == mDisk.get(unwrap(other));
    }

    @Override
    public boolean isHidden(Path path) {
        return false;
    }

    @Override
    public FileStore getFileStore(Path path) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void checkAccess(Path path, AccessMode... modes) throws IOException {
        mDisk.get(unwrap(path));
    }

    @Override
    public <V extends FileAttributeView> V getFileAttributeView(
            Path path, Class<V> type, LinkOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public <A extends BasicFileAttributes> A readAttributes(
            Path path, Class<A> type, LinkOption... options) throws IOException {
        return type.cast(new FaultyAttributes(mDisk.get(unwrap(path))));
    }

    @Override
    public Map<String, Object> readAttributes(Path path, String names, LinkOption... options) {
        throw new UnsupportedOperationException();
    }

    @Override
    public void setAttribute(Path path, String name, Object value, LinkOption... options) {
        throw new UnsupportedOperationException();
    }
}
