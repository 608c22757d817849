package org.hemlockrack.daemon.entry;

import java.io.ByteArrayOutputStream;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;

/** Buffers the answer of a claimed command until it is recorded. Not thread-safe. */
final class AnswerBuffer {
    /**
     * Largest body. An instance with a heap of 256 MB can hold some tens of answers of this size.
     */
    static final int MAX_BODY_BYTES = 4 << 20;

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private List<HeaderField> mHeaders = List.of();
    private int mStatus;
    private boolean mTooLarge;

    private AnswerBuffer() {}

    static AnswerBuffer create() {
        return new AnswerBuffer();
    }

    void setHead(int status, List<HeaderField> headers) {
        mStatus = status;
        mHeaders = List.copyOf(headers);
    }

    /**
     * Adds body bytes.
     *
     * @param bytes the bytes
     * @return false exactly once, when the body becomes too large; all its bytes are dropped then,
     *     and later bytes too
     */
    boolean append(byte[] bytes) {
        if (mTooLarge) {
            return true;
        }
        if (mBody.size() + bytes.length > MAX_BODY_BYTES) {
            mTooLarge = true;
            mBody.reset();
            return false;
        }
        mBody.writeBytes(bytes);
        return true;
    }

    int status() {
        return mStatus;
    }

    List<HeaderField> headers() {
        return mHeaders;
    }

    byte[] body() {
        return mBody.toByteArray();
    }
}
