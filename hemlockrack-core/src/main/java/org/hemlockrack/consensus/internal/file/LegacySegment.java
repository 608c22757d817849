package org.hemlockrack.consensus.internal.file;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.HemlockrackException;

/**
 * A log segment of version 1: one record for each entry, without a header. It does not tell what
 * was synced, so a record that does not read is damage unless the end of the file cuts it off or it
 * consists of zeros up to there.
 */
final class LegacySegment {
    private LegacySegment() {}

    /**
     * Reads a segment.
     *
     * @param path the file, for errors
     * @param file its content
     * @param base index of the first entry
     * @param newest whether this is the newest segment, whose last record may be torn
     * @throws HemlockrackException with {@link org.hemlockrack.errors.ErrorKind#STORAGE_DAMAGED} if
     *     the segment is damaged
     */
    static SegmentContent read(Path path, ByteBuffer file, long base, boolean newest) {
        List<Entry> entries = new ArrayList<>();
        while (file.hasRemaining()) {
            int start = file.position();
            byte[] payload = RecordFormat.readNext(path, file);
            if (payload == null) {
                if (!newest) {
                    throw RecordFormat.damaged(path, start, "incomplete record");
                }
                return content(entries, start);
            }
            Entry entry = decode(path, start, payload);
            if (entry.index() != base + entries.size()) {
                throw RecordFormat.damaged(path, start, "order of entries");
            }
            entries.add(entry);
        }
        return content(entries, file.limit());
    }

    private static SegmentContent content(List<Entry> entries, int validBytes) {
        return new SegmentContent(0, entries, validBytes, 0, 0);
    }

    private static Entry decode(Path path, int start, byte[] payload) {
        try {
            return WireCodec.decodeEntry(payload);
        } catch (HemlockrackException e) {
            throw RecordFormat.damaged(path, start, e.getMessage());
        }
    }
}
