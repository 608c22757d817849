package org.hemlockrack.consensus.internal.file;

import java.nio.ByteBuffer;
import java.util.Arrays;
import org.jspecify.annotations.Nullable;

/**
 * Start of a log segment: magic number, version of the form, salt, CRC32C of these.
 *
 * @param salt random number that the checksums of the frames cover
 */
record SegmentHeader(long salt) {
    static final int SIZE_BYTES = 20;

    private static final int MAGIC = 0x484c4f47;
    private static final int VERSION = 2;

    ByteBuffer encode() {
        ByteBuffer header = ByteBuffer.allocate(SIZE_BYTES);
        header.putInt(MAGIC).putInt(VERSION).putLong(salt);
        header.putInt(RecordFormat.crc32c(Arrays.copyOf(header.array(), header.position())));
        return header.flip();
    }

    /** Returns the header of a segment, or null if it is damaged or of version 1, without one. */
    static @Nullable SegmentHeader read(ByteBuffer file) {
        if (file.limit() < SIZE_BYTES) {
            return null;
        }
        SegmentHeader header = new SegmentHeader(file.getLong(2 * Integer.BYTES));
        return header.encode().equals(file.slice(0, SIZE_BYTES)) ? header : null;
    }
}
