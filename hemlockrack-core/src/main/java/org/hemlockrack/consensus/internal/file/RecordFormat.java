package org.hemlockrack.consensus.internal.file;

import java.nio.ByteBuffer;
import java.nio.file.Path;
import java.util.zip.CRC32C;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * Record format of all files: length, complement of the length, CRC32C of the payload, payload.
 *
 * <p>The complement distinguishes a damaged length from a torn record. Without it a damaged length
 * in the middle of the file could look like a record that was cut off at the end.
 */
final class RecordFormat {
    static final int HEADER_BYTES = 12;

    private RecordFormat() {}

    static ByteBuffer encode(byte[] payload) {
        ByteBuffer record = ByteBuffer.allocate(HEADER_BYTES + payload.length);
        record.putInt(payload.length).putInt(~payload.length).putInt(crc32c(payload));
        record.put(payload).flip();
        return record;
    }

    /**
     * Reads the next record.
     *
     * @return the payload, or null at a torn record, which is cut off by the end of the file or
     *     consists of zeros up to it
     * @throws HemlockrackException with {@link ErrorKind#STORAGE_DAMAGED} for any other damage
     */
    static byte @Nullable [] readNext(Path file, ByteBuffer in) {
        int start = in.position();
        if (in.remaining() < HEADER_BYTES || isZeroToEnd(in)) {
            return null;
        }
        int length = in.getInt();
        int complement = in.getInt();
        int crc = in.getInt();
        if (length < 0 || complement != ~length) {
            throw damaged(file, start, "record header");
        }
        if (in.remaining() < length) {
            in.position(start);
            return null;
        }
        byte[] payload = new byte[length];
        in.get(payload);
        if (crc32c(payload) != crc) {
            throw damaged(file, start, "checksum");
        }
        return payload;
    }

    private static boolean isZeroToEnd(ByteBuffer in) {
        for (int i = in.position(); i < in.limit(); i++) {
            if (in.get(i) != 0) {
                return false;
            }
        }
        return true;
    }

    static int crc32c(byte[] bytes) {
        CRC32C crc = new CRC32C();
        crc.update(bytes, 0, bytes.length);
        return (int) crc.getValue();
    }

    static HemlockrackException damaged(Path file, long offset, String what) {
        return HemlockrackException.of(
                ErrorKind.STORAGE_DAMAGED,
                String.format(ErrorText.STORE_DAMAGED, file, offset, what));
    }

    static HemlockrackException missing(Path file) {
        return HemlockrackException.of(
                ErrorKind.STORAGE_DAMAGED, String.format(ErrorText.STORE_MISSING, file));
    }
}
