package org.hemlockrack.consensus.disk;

import java.net.URI;
import java.nio.file.FileSystem;
import java.nio.file.LinkOption;
import java.nio.file.Path;
import java.nio.file.WatchEvent;
import java.nio.file.WatchKey;
import java.nio.file.WatchService;

/** A path of a {@link FaultyFileSystem}, named by a path of the default file system. */
final class FaultyPath implements Path {
    private final FaultyFileSystem mFileSystem;
    private final Path mPath;

    FaultyPath(FaultyFileSystem fileSystem, Path path) {
        mFileSystem = fileSystem;
        mPath = path;
    }

    /** Returns the path of the default file system. */
    static Path unwrap(Path path) {
        return path instanceof FaultyPath faulty ? faulty.mPath : path;
    }

    private Path wrap(Path path) {
        return path == null ? null : new FaultyPath(mFileSystem, path);
    }

    @Override
    public FileSystem getFileSystem() {
        return mFileSystem;
    }

    @Override
    public boolean isAbsolute() {
        return mPath.isAbsolute();
    }

    @Override
    public Path getRoot() {
        return wrap(mPath.getRoot());
    }

    @Override
    public Path getFileName() {
        return wrap(mPath.getFileName());
    }

    @Override
    public Path getParent() {
        return wrap(mPath.getParent());
    }

    @Override
    public int getNameCount() {
        return mPath.getNameCount();
    }

    @Override
    public Path getName(int index) {
        return wrap(mPath.getName(index));
    }

    @Override
    public Path subpath(int beginIndex, int endIndex) {
        return wrap(mPath.subpath(beginIndex, endIndex));
    }

    @Override
    public boolean startsWith(Path other) {
        return mPath.startsWith(unwrap(other));
    }

    @Override
    public boolean endsWith(Path other) {
        return mPath.endsWith(unwrap(other));
    }

    @Override
    public Path normalize() {
        return wrap(mPath.normalize());
    }

    @Override
    public Path resolve(Path other) {
        return wrap(mPath.resolve(unwrap(other)));
    }

    @Override
    public Path relativize(Path other) {
        return wrap(mPath.relativize(unwrap(other)));
    }

    @Override
    public URI toUri() {
        return mPath.toUri();
    }

    @Override
    public Path toAbsolutePath() {
        return wrap(mPath.toAbsolutePath());
    }

    @Override
    public Path toRealPath(LinkOption... options) {
        return normalize();
    }

    @Override
    public WatchKey register(
            WatchService watcher, WatchEvent.Kind<?>[] events, WatchEvent.Modifier... modifiers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public int compareTo(Path other) {
        return mPath.compareTo(unwrap(other));
    }

    @Override
    public boolean equals(Object other) {
        return other instanceof FaultyPath path && mPath.equals(path.mPath);
    }

    @Override
    public int hashCode() {
        return mPath.hashCode();
    }

    @Override
    public String toString() {
        return mPath.toString();
    }
}
