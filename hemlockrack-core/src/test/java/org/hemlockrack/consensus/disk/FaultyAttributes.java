package org.hemlockrack.consensus.disk;

import java.nio.file.attribute.BasicFileAttributes;
import java.nio.file.attribute.FileTime;
import org.jspecify.annotations.Nullable;

/** The attributes of a {@link FaultyFile}, which has no times. */
record FaultyAttributes(FaultyFile file) implements BasicFileAttributes {
    private static final FileTime NO_TIME = FileTime.fromMillis(0);

    @Override
    public FileTime lastModifiedTime() {
        return NO_TIME;
    }

    @Override
    public FileTime lastAccessTime() {
        return NO_TIME;
    }

    @Override
    public FileTime creationTime() {
        return NO_TIME;
    }

    @Override
    public boolean isRegularFile() {
        return !file.isFolder();
    }

    @Override
    public boolean isDirectory() {
        return file.isFolder();
    }

    @Override
    public boolean isSymbolicLink() {
        return false;
    }

    @Override
    public boolean isOther() {
        return false;
    }

    @Override
    public long size() {
        return file.sizeBytes();
    }

    @Override
    public @Nullable Object fileKey() {
        return null;
    }
}
