package org.hemlockrack.consensus.disk;

/** An operation that a {@link FaultyDisk} can refuse. */
public enum DiskOperation {
    CREATE,
    WRITE,
    TRUNCATE,
    SYNC,
    SYNC_FOLDER,
    RENAME,
    DELETE,
    LIST,
    READ;

    /** Returns whether a full disk refuses the operation. */
    public boolean needsSpace() {
        return this == CREATE
                || this == WRITE
                || this == TRUNCATE
                || this == SYNC
                || this == SYNC_FOLDER
                || this == RENAME;
    }
}
