package org.hemlockrack.daemon.http;

import java.io.IOException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.NHttpMessageWriter;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.SessionOutputBuffer;
import org.hemlockrack.http.HeadSyntax;
import org.jspecify.annotations.Nullable;

/**
 * Compares the input of one client connection with the requests that were sent on it. Input that
 * belongs to no request fails the connection; HttpCore would keep an incomplete line for the
 * response to the next request. Confined to the thread of the connection.
 */
final class ResponseInput {
    /** Limit on one head, including the informational ones before it. */
    private static final int MAX_HEAD_BYTES = 64 << 10;

    private final HeadSyntax mSyntax = HeadSyntax.ofResponses();
    private @Nullable MessageLineBuffer mBuffer;
    private int mExpectedResponses;
    private int mHeadBytes;

    /** Returns whether the connection has received bytes that nothing has consumed. */
    boolean hasUnreadBytes() {
        return mBuffer != null && mBuffer.hasData();
    }

    /** Returns a writer that counts the requests which the given writer writes. */
    NHttpMessageWriter<HttpRequest> counting(NHttpMessageWriter<HttpRequest> writer) {
        return new NHttpMessageWriter<>() {
            @Override
            public void reset() {
                writer.reset();
            }

            @Override
            public void write(HttpRequest request, SessionOutputBuffer buffer)
                    throws IOException, HttpException {
                mExpectedResponses++;
                writer.write(request, buffer);
            }
        };
    }

    private static void checkLength(HttpResponse response) throws IOException {
        ProtocolVersion version = response.getVersion();
        boolean isHttp10 = version != null && version.lessEquals(HttpVersion.HTTP_1_0);
        HeaderField.lengthFieldsOf(response).check(isHttp10);
    }

    /**
     * Returns a parser that refuses malformed heads, and all input unless a request awaits a
     * response.
     */
    NHttpMessageParser<HttpResponse> guarding(NHttpMessageParser<HttpResponse> parser) {
        return new NHttpMessageParser<>() {
            @Override
            public void reset() {
                parser.reset();
                mSyntax.reset();
            }

            @Override
            public @Nullable HttpResponse parse(SessionInputBuffer buffer, boolean endOfStream)
                    throws IOException, HttpException {
                MessageLineBuffer lines = MessageLineBuffer.of(buffer, mSyntax, mBuffer);
                mBuffer = lines;
                if (mExpectedResponses == 0 && buffer.hasData()) {
                    throw new ProtocolException("input that belongs to no request");
                }
                int unreadBytes = buffer.length();
                HttpResponse response = parser.parse(lines, endOfStream);
                mHeadBytes += unreadBytes - buffer.length();
                if (mHeadBytes > MAX_HEAD_BYTES) {
                    throw new MessageConstraintException(
                            "head of a response exceeds " + MAX_HEAD_BYTES + " bytes");
                }
                if (response != null) {
                    checkLength(response);
                }
                if (response != null && response.getCode() >= HttpStatus.SC_SUCCESS) {
                    mExpectedResponses--;
                    mHeadBytes = 0;
                }
                return response;
            }
        };
    }
}
