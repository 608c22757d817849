package org.hemlockrack.consensus;

import java.nio.file.Path;
import java.util.List;
import org.hemlockrack.consensus.internal.file.FolderCheck;
import org.jspecify.annotations.Nullable;

/**
 * What the data folder of a replica holds, and what is wrong with it.
 *
 * @param formVersion version of the form of the files, 0 if unknown
 * @param hardState replica id, term and vote, or null if they cannot be read
 * @param snapshot the newest snapshot, or null if there is none or it cannot be read
 * @param segments the segments that can be read, in the order of their entries
 * @param faults damage, each with its file
 * @param leftovers what the next opening removes: torn writes and files that are not in use
 */
public record StorageReport(
        int formVersion,
        @Nullable HardState hardState,
        @Nullable SnapshotMeta snapshot,
        List<Segment> segments,
        List<String> faults,
        List<String> leftovers) {

    /**
     * A segment of the log.
     *
     * @param name name of the file
     * @param firstIndex index of the first entry
     * @param lastIndex index of the last entry, {@code firstIndex - 1} if there is none
     * @param sizeBytes size of the part that can be read
     * @param syncedBytes size up to which the files prove that it was synced
     */
    public record Segment(
            String name, long firstIndex, long lastIndex, long sizeBytes, long syncedBytes) {}

    /**
     * Reads a folder and changes nothing in it.
     *
     * @param folder the data folder of a replica that does not run
     * @return the report
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#SETTINGS_INVALID} if the folder does not exist, cannot
     *     be read, holds no files of a replica or was written by a newer release, with {@link
     *     org.hemlockrack.errors.ErrorKind#NOT_READY} if a process uses it, with {@link
     *     org.hemlockrack.errors.ErrorKind#STORAGE_FAILED} if reading fails
     */
    public static StorageReport of(Path folder) {
        return FolderCheck.run(folder);
    }
}
