package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.util.List;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.nio.ChunkDecoder;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.hemlockrack.http.ChunkedBodySyntax;
import org.jspecify.annotations.Nullable;

/**
 * Decodes a chunked body up to the empty line that ends its trailers. HttpCore takes the end of the
 * connection for the end of a line, so that a body which the sender broke off in the size of a
 * chunk or in the trailers could look complete.
 */
final class WholeBodyDecoder implements ContentDecoder {
    private final ContentDecoder mDecoder;
    private final OpenEndedChannel mChannel;
    private final MessageLineBuffer mLines;

    private WholeBodyDecoder(
            ContentDecoder decoder, OpenEndedChannel channel, MessageLineBuffer lines) {
        mDecoder = decoder;
        mChannel = channel;
        mLines = lines;
    }

    /**
     * Creates a decoder.
     *
     * @param channel the input of the connection
     * @param buffer input that was read from the channel already
     * @param limits limits on the lines that are not part of the content
     * @param metrics counts the bytes
     * @return the decoder
     */
    static WholeBodyDecoder ofChunks(
            ReadableByteChannel channel,
            SessionInputBuffer buffer,
            Http1Config limits,
            BasicHttpTransportMetrics metrics) {
        OpenEndedChannel openEnded = new OpenEndedChannel(channel);
        MessageLineBuffer lines = MessageLineBuffer.of(buffer, ChunkedBodySyntax.create(), null);
        return new WholeBodyDecoder(
                new ChunkDecoder(openEnded, lines, limits, metrics), openEnded, lines);
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        int bytes = mDecoder.read(dst);
        if (bytes > 0) {
            mChannel.mBytesSinceContent = 0;
            mLines.resetLines();
        }
        if (bytes <= 0 && mChannel.mAtEnd && !mDecoder.isCompleted()) {
            throw new ConnectionClosedException("the connection ended inside a chunked body");
        }
        return bytes;
    }

    /**
     * Returns the bytes received since the last content: the size of a chunk or trailers, which are
     * kept until the body is complete.
     */
    long bytesSinceContent() {
        return mChannel.mBytesSinceContent;
    }

    /** Returns the lines received since the last content. */
    int linesSinceContent() {
        return mLines.lines();
    }

    @Override
    public boolean isCompleted() {
        return mDecoder.isCompleted();
    }

    @Override
    public @Nullable List<? extends Header> getTrailers() {
        return mDecoder.getTrailers();
    }

    /** Reports the end of the input as a lack of data. */
    private static final class OpenEndedChannel implements ReadableByteChannel {
        private final ReadableByteChannel mChannel;
        private boolean mAtEnd;
        private long mBytesSinceContent;

        OpenEndedChannel(ReadableByteChannel channel) {
            mChannel = channel;
        }

        @Override
        public int read(ByteBuffer dst) throws IOException {
            int bytes = mChannel.read(dst);
            mAtEnd |= bytes < 0;
            mBytesSinceContent += Math.max(0, bytes);
            return Math.max(0, bytes);
        }

        @Override
        public boolean isOpen() {
            return mChannel.isOpen();
        }

        @Override
        public void close() throws IOException {
            mChannel.close();
        }
    }
}
