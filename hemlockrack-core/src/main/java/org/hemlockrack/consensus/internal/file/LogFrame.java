package org.hemlockrack.consensus.internal.file;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import java.util.zip.CRC32C;
import org.hemlockrack.consensus.Entry;
import org.hemlockrack.consensus.internal.WireCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * The entries of one write to a log segment: sync mark, length of the payload, number of unsynced
 * bytes before the frame, CRC32C, payload. The payload is a sequence of entries, each after its
 * length as a varint.
 *
 * <p>A frame is written with an empty mark, which is set after a sync has covered the frame. The
 * mark is a single byte, so no loss of power tears it. The checksum covers the salt of the segment
 * and the position, so that no data inside an entry looks like a frame.
 *
 * @param position offset in the file
 * @param mark the sync mark
 * @param unsyncedBytes bytes before the frame that no sync had covered when it was written
 * @param payload the encoded entries
 */
record LogFrame(int position, byte mark, int unsyncedBytes, ByteBuffer payload) {
    static final byte UNSYNCED = 0;
    static final byte SYNCED = 0x53;

    static final int HEADER_BYTES = 13;

    private static final int LENGTH_OFFSET = 1;
    private static final int UNSYNCED_OFFSET = 5;
    private static final int CRC_OFFSET = 9;

    /**
     * Reads a frame.
     *
     * @param file content of the segment
     * @param position offset of the frame
     * @param salt salt of the segment
     * @return the frame, or null if there is none at this offset that is whole
     */
    static @Nullable LogFrame read(ByteBuffer file, int position, long salt) {
        int remaining = file.limit() - position - HEADER_BYTES;
        if (remaining <= 0) {
            return null;
        }
        int length = file.getInt(position + LENGTH_OFFSET);
        int unsyncedBytes = file.getInt(position + UNSYNCED_OFFSET);
        if (length <= 0 || length > remaining || unsyncedBytes < 0 || unsyncedBytes > position) {
            return null;
        }
        ByteBuffer payload = file.slice(position + HEADER_BYTES, length);
        int crc = crc32c(salt, position, unsyncedBytes, payload.duplicate());
        if (crc != file.getInt(position + CRC_OFFSET)) {
            return null;
        }
        return new LogFrame(position, file.get(position), unsyncedBytes, payload);
    }

    private static int crc32c(long salt, int position, int unsyncedBytes, ByteBuffer payload) {
        ByteBuffer prefix = ByteBuffer.allocate(Long.BYTES + 3 * Integer.BYTES);
        prefix.putLong(salt).putInt(position).putInt(unsyncedBytes).putInt(payload.remaining());
        CRC32C crc = new CRC32C();
        crc.update(prefix.flip());
        crc.update(payload);
        return (int) crc.getValue();
    }

    boolean isMarkValid() {
        return mark == UNSYNCED || mark == SYNCED;
    }

    int end() {
        return position + HEADER_BYTES + payload.limit();
    }

    /** Returns the offset up to which this frame proves that the file was synced. */
    int provenSyncedBytes() {
        return mark == UNSYNCED ? position - unsyncedBytes : end();
    }

    /**
     * Decodes the entries.
     *
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    List<Entry> entries() {
        List<Entry> entries = new ArrayList<>();
        ByteBuffer in = payload.duplicate();
        while (in.hasRemaining()) {
            int length = readVarint(in);
            if (length < 0 || length > in.remaining()) {
                throw malformed();
            }
            byte[] entry = new byte[length];
            in.get(entry);
            entries.add(WireCodec.decodeEntry(entry));
        }
        return entries;
    }

    private static int readVarint(ByteBuffer in) {
        int value = 0;
        for (int shift = 0; shift < Integer.SIZE && in.hasRemaining(); shift += 7) {
            byte next = in.get();
            value |= (next & 0x7f) << shift;
            if (next >= 0) {
                return value;
            }
        }
        throw malformed();
    }

    private static HemlockrackException malformed() {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.WIRE_MALFORMED, "frame"));
    }

    /** Collects the entries of a frame. */
    static final class Builder {
        /** A frame of this size gets no more entries. */
        private static final int FULL_BYTES = 1 << 20;

        private final ByteArrayOutputStream mPayload = new ByteArrayOutputStream();

        void add(Entry entry) {
            byte[] bytes = WireCodec.encodeEntry(entry);
            int rest = bytes.length;
            while (rest > 0x7f) {
                mPayload.write(rest & 0x7f | 0x80);
                rest >>>= 7;
            }
            mPayload.write(rest);
            mPayload.writeBytes(bytes);
        }

        boolean isFull() {
            return sizeBytes() >= FULL_BYTES;
        }

        int sizeBytes() {
            return HEADER_BYTES + mPayload.size();
        }

        /**
         * Returns the bytes of the frame.
         *
         * @param salt salt of the segment
         * @param position offset at which the frame is going to be written
         * @param unsyncedBytes bytes before it that no sync has covered
         * @param mark the sync mark
         */
        ByteBuffer build(long salt, int position, int unsyncedBytes, byte mark) {
            byte[] payload = mPayload.toByteArray();
            ByteBuffer frame = ByteBuffer.allocate(HEADER_BYTES + payload.length);
            frame.put(mark).putInt(payload.length).putInt(unsyncedBytes);
            frame.putInt(crc32c(salt, position, unsyncedBytes, ByteBuffer.wrap(payload)));
            return frame.put(payload).flip();
        }
    }
}
