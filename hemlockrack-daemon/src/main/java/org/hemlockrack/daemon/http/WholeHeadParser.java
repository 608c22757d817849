package org.hemlockrack.daemon.http;

import java.io.IOException;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.jspecify.annotations.Nullable;

/**
 * Parses heads up to the empty line that ends each. HttpCore takes the end of the connection for
 * the end of the head, so that a head which the sender broke off would look complete, without the
 * header fields that say how long the body is.
 *
 * @param <T> requests or responses
 */
final class WholeHeadParser<T extends HttpMessage> implements NHttpMessageParser<T> {
    private final NHttpMessageParser<T> mParser;
    private boolean mInHead;

    private WholeHeadParser(NHttpMessageParser<T> parser) {
        mParser = parser;
    }

    static <T extends HttpMessage> WholeHeadParser<T> of(NHttpMessageParser<T> parser) {
        return new WholeHeadParser<>(parser);
    }

    @Override
    public void reset() {
        mParser.reset();
        mInHead = false;
    }

    @Override
    public @Nullable T parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        mInHead |= buffer.hasData();
        T head = mParser.parse(buffer, false);
        if (head != null) {
            mInHead = false;
            return head;
        }
        if (endOfStream && mInHead) {
            throw new ConnectionClosedException("the connection ended inside a head");
        }
        return null;
    }
}
