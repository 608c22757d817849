package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.MalformedChunkCodingException;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.hemlockrack.http.MalformedMessageException;
import org.jspecify.annotations.Nullable;

/**
 * Decodes a request body. Once a chunked body has proved malformed, and for the whole body of a
 * refused request, it discards all input up to the end of the connection.
 */
final class BodyDecoder implements ContentDecoder {
    private static final int SCRATCH_BYTES = 4 << 10;

    private final @Nullable ContentDecoder mDecoder;
    private final ReadableByteChannel mChannel;
    private final SessionInputBuffer mBuffer;
    private final ClientConnection mConnection;
    private boolean mDiscarding;
    private boolean mAtEnd;

    /**
     * Creates a decoder.
     *
     * @param decoder decodes the body, or null to discard all input
     * @param channel the connection's input
     * @param buffer input that was read from the channel already
     * @param connection the connection, which refuses a malformed body
     */
    BodyDecoder(
            @Nullable ContentDecoder decoder,
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            ClientConnection connection) {
        mDecoder = decoder;
        mChannel = channel;
        mBuffer = buffer;
        mConnection = connection;
        mDiscarding = decoder == null;
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        if (mDiscarding || mDecoder == null) {
            discardInput();
            return 0;
        }
        try {
            int bytes = mDecoder.read(dst);
            if (mDecoder instanceof WholeBodyDecoder chunked) {
                reserveTrailers(chunked);
            }
            return bytes;
        } catch (MalformedMessageException
                | MalformedChunkCodingException
                | MessageConstraintException e) {
            mDiscarding = true;
            mConnection.refuseMalformedBody("malformed request body: " + e.getMessage());
            discardInput();
            return 0;
        }
    }

    private void reserveTrailers(WholeBodyDecoder decoder) throws IOException {
        if (decoder.isCompleted()) {
            mConnection.releaseTrailers();
        } else if (!mConnection.tryReserveHead(
                decoder.bytesSinceContent(), decoder.linesSinceContent())) {
            mDiscarding = true;
            mConnection.refuseBodyForMemory();
            discardInput();
        }
    }

    private void discardInput() throws IOException {
        ByteBuffer scratch = ByteBuffer.allocate(SCRATCH_BYTES);
        while (mBuffer.hasData()) {
            scratch.clear();
            mBuffer.read(scratch);
        }
        scratch.clear();
        mAtEnd = mChannel.read(scratch) < 0;
    }

    @Override
    public boolean isCompleted() {
        if (mDiscarding || mDecoder == null) {
            return mAtEnd;
        }
        return mDecoder.isCompleted();
    }

    @Override
    public @Nullable List<? extends Header> getTrailers() {
        return mDiscarding || mDecoder == null ? null : mDecoder.getTrailers();
    }
}
