package org.hemlockrack.consensus.disk;

import java.nio.ByteBuffer;
import java.util.Arrays;

/** The bytes of a file. */
final class FileContent {
    private byte[] mBytes = new byte[0];
    private int mSizeBytes;

    FileContent copy() {
        FileContent copy = new FileContent();
        copy.mBytes = Arrays.copyOf(mBytes, mSizeBytes);
        copy.mSizeBytes = mSizeBytes;
        return copy;
    }

    int sizeBytes() {
        return mSizeBytes;
    }

    /** Writes a part of an array to the offset that it has if the whole array is written. */
    void write(long offset, byte[] bytes, int from, int to) {
        int start = Math.toIntExact(offset + from);
        int end = Math.toIntExact(offset + to);
        extend(end);
        System.arraycopy(bytes, from, mBytes, start, to - from);
    }

    /** Fills with zeros up to a size. */
    void extend(long sizeBytes) {
        int size = Math.toIntExact(sizeBytes);
        if (size > mBytes.length) {
            mBytes = Arrays.copyOf(mBytes, Math.max(size, 2 * mBytes.length));
        }
        mSizeBytes = Math.max(mSizeBytes, size);
    }

    void truncate(long sizeBytes) {
        if (sizeBytes < mSizeBytes) {
            Arrays.fill(mBytes, (int) sizeBytes, mSizeBytes, (byte) 0);
            mSizeBytes = (int) sizeBytes;
        }
    }

    /** Returns the number of bytes read, or -1 at the end of the file. */
    int read(long position, ByteBuffer target) {
        if (position >= mSizeBytes) {
            return -1;
        }
        int count = (int) Math.min(target.remaining(), mSizeBytes - position);
        target.put(mBytes, (int) position, count);
        return count;
    }
}
