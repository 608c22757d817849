package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.util.List;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.MessageConstraintException;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.RequestHeaderFieldsTooLargeException;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestParserFactory;
import org.apache.hc.core5.http.nio.NHttpMessageParser;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.jspecify.annotations.Nullable;

/**
 * Reads request heads of one connection. A head that is malformed or over a limit becomes a {@link
 * RefusedRequest}; after it nothing more is read as a request.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private static final String CHUNKED = "chunked";
    private static final List<String> SINGLE_FIELDS = List.of("Authorization", "Idempotency-Key");

    private final NHttpMessageParser<HttpRequest> mParser;
    private final ClientConnection mConnection;

    RequestParser(Http1Config config, ClientConnection connection) {
        mParser = new DefaultHttpRequestParserFactory(config).create();
        mConnection = connection;
    }

    @Override
    public void reset() {
        mParser.reset();
    }

    @Override
    public @Nullable HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        if (buffer.hasData()) {
            mConnection.headStarted();
        }
        HttpRequest request;
        try {
            request = mParser.parse(buffer, endOfStream);
        } catch (RequestHeaderFieldsTooLargeException | MessageConstraintException e) {
            request = RefusedRequest.of("GET", ErrorKind.HEADERS_TOO_LARGE, e.getMessage());
        } catch (HttpException e) {
            request = RefusedRequest.of("GET", ErrorKind.BAD_REQUEST, e.getMessage());
        }
        if (request == null) {
            return null;
        }
        mConnection.headComplete();
        return checked(request);
    }

    private HttpRequest checked(HttpRequest request) {
        if (request instanceof RefusedRequest) {
            return request;
        }
        String fault = fault(request);
        if (fault != null) {
            return RefusedRequest.of(request.getMethod(), ErrorKind.BAD_REQUEST, fault);
        }
        String excess = mConnection.excess();
        if (excess != null) {
            return RefusedRequest.of(request.getMethod(), ErrorKind.RATE_LIMITED, excess);
        }
        return request;
    }

    private static @Nullable String fault(HttpRequest request) {
        ProtocolVersion version = request.getVersion();
        if (version != null && version.getMajor() != 1) {
            return String.format(ErrorText.HTTP_VERSION, version);
        }
        boolean old = version != null && version.lessEquals(HttpVersion.HTTP_1_0);
        if (!old && request.countHeaders("Host") != 1) {
            return ErrorText.HTTP_HOST;
        }
        String field = fieldFault(request);
        return field == null ? framingFault(request, old) : field;
    }

    /**
     * Two values of a field that decides who asks, or whether a command ran, would let two readers
     * see two requests.
     */
    private static @Nullable String fieldFault(HttpRequest request) {
        for (String name : SINGLE_FIELDS) {
            if (request.countHeaders(name) > 1) {
                return String.format(ErrorText.HTTP_FIELD_DUPLICATE, name);
            }
        }
        return null;
    }

    /**
     * Two readers that disagree about the end of a body take part of it for a request of its own,
     * so every ambiguous framing is refused.
     */
    private static @Nullable String framingFault(HttpRequest request, boolean old) {
        Header[] lengths = request.getHeaders("Content-Length");
        Header[] codings = request.getHeaders("Transfer-Encoding");
        if (codings.length > 0 && lengths.length > 0) {
            return ErrorText.HTTP_CONFLICTING_FRAMING;
        }
        if (codings.length > 1
                || codings.length == 1
                        && (old || !CHUNKED.equalsIgnoreCase(codings[0].getValue().trim()))) {
            return ErrorText.HTTP_TRANSFER_ENCODING;
        }
        if (lengths.length > 1
                || lengths.length == 1 && !lengths[0].getValue().trim().matches("[0-9]{1,18}")) {
            return ErrorText.HTTP_CONTENT_LENGTH;
        }
        return null;
    }
}
