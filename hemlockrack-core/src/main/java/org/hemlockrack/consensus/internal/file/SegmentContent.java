package org.hemlockrack.consensus.internal.file;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * What a log segment holds.
 *
 * @param salt salt of the checksums
 * @param entries the entries; a frame replaces all earlier ones from its first index on
 * @param validBytes size up to the last whole frame; a loss of power has torn what follows
 * @param syncedBytes size up to which the segment is known to be synced
 * @param lastFrame offset of the last whole frame, 0 if there is none
 */
record SegmentContent(
        long salt, List<Entry> entries, int validBytes, int syncedBytes, int lastFrame) {
    /**
     * Reads a segment. A frame that does not read is damage if a sync has covered it: its mark or a
     * later frame tells, or there is a later segment, before whose creation this one was synced.
     *
     * @param path the file, for errors
     * @param file its content
     * @param base index of the first entry
     * @param newest whether this is the newest segment
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#STORAGE_DAMAGED} if
     *     synced bytes are damaged
     */
    static SegmentContent read(Path path, ByteBuffer file, long base, boolean newest) {
        SegmentHeader header = SegmentHeader.read(file);
        if (header == null) {
            throw RecordFormat.damaged(path, 0, "segment header");
        }
        List<Entry> entries = new ArrayList<>();
        int position = SegmentHeader.SIZE_BYTES;
        int syncedBytes = position;
        int lastFrame = 0;
        while (position < file.limit()) {
            LogFrame frame = LogFrame.read(file, position, header.salt());
            if (frame == null) {
                if (!newest || isSynced(file, position, header.salt())) {
                    throw RecordFormat.damaged(path, position, "checksum");
                }
                break;
            }
            addEntries(path, frame, base, entries);
            lastFrame = position;
            syncedBytes = Math.max(syncedBytes, frame.provenSyncedBytes());
            position = frame.end();
        }
        return new SegmentContent(header.salt(), entries, position, syncedBytes, lastFrame);
    }

    /** Returns whether a sync has covered the start of a frame that does not read. */
    private static boolean isSynced(ByteBuffer file, int position, long salt) {
        if (file.get(position) != LogFrame.UNSYNCED) {
            return true;
        }
        for (int i = position + 1; i < file.limit() - LogFrame.HEADER_BYTES; i++) {
            LogFrame later = LogFrame.read(file, i, salt);
            if (later != null && later.provenSyncedBytes() > position) {
                return true;
            }
        }
        return false;
    }

    private static void addEntries(Path path, LogFrame frame, long base, List<Entry> entries) {
        if (!frame.isMarkValid()) {
            throw RecordFormat.damaged(path, frame.position(), "sync mark");
        }
        boolean isFirst = true;
        for (Entry entry : decode(path, frame)) {
            long next = base + entries.size();
            boolean isInOrder = isFirst ? entry.index() >= base : entry.index() == next;
            if (!isInOrder || entry.index() > next) {
                throw RecordFormat.damaged(path, frame.position(), "order of entries");
            }
            entries.subList(Math.toIntExact(entry.index() - base), entries.size()).clear();
            entries.add(entry);
            isFirst = false;
        }
    }

    private static List<Entry> decode(Path path, LogFrame frame) {
        try {
            return frame.entries();
        } catch (HemlockrackException e) {
            throw RecordFormat.damaged(path, frame.position(), e.getMessage());
        }
    }

    /** Returns the bytes of whole frames that may not be synced, or null if all are. */
    @Nullable ByteBuffer unsyncedFrames(ByteBuffer file) {
        return syncedBytes == validBytes ? null : file.slice(syncedBytes, validBytes - syncedBytes);
    }
}
