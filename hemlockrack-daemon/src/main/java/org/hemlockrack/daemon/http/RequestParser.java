package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.util.List;
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
import org.hemlockrack.http.HeadSyntax;
import org.hemlockrack.http.MalformedMessageException;
import org.hemlockrack.http.SyntaxRule;
import org.jspecify.annotations.Nullable;

/**
 * Parses and validates the request heads of one connection. A head that is malformed or exceeds a
 * limit is returned as a {@link RefusedRequest}; all later input of the connection is discarded.
 */
final class RequestParser implements NHttpMessageParser<HttpRequest> {
    private static final List<String> SINGLE_VALUE_FIELDS =
            List.of("Authorization", "Idempotency-Key");

    private final NHttpMessageParser<HttpRequest> mParser;
    private final ClientConnection mConnection;
    private final HeadSyntax mSyntax = HeadSyntax.ofRequests();
    private long mHeadBytes;
    private @Nullable MessageLineBuffer mLines;

    RequestParser(Http1Config config, ClientConnection connection) {
        mParser = WholeHeadParser.of(new DefaultHttpRequestParserFactory(config).create());
        mConnection = connection;
    }

    @Override
    public void reset() {
        mParser.reset();
        mSyntax.reset();
    }

    @Override
    public @Nullable HttpRequest parse(SessionInputBuffer buffer, boolean endOfStream)
            throws IOException, HttpException {
        if (buffer.hasData()) {
            mConnection.headStarted();
        }
        HttpRequest request;
        MessageLineBuffer lines = MessageLineBuffer.of(buffer, mSyntax, mLines);
        mLines = lines;
        int pendingBytes = buffer.length();
        if (!mConnection.tryReserveHead(mHeadBytes + pendingBytes, lines.lines())) {
            return endHead(memoryRefusal());
        }
        try {
            request = mParser.parse(lines, endOfStream);
        } catch (RequestHeaderFieldsTooLargeException | MessageConstraintException e) {
            request = RefusedRequest.of("GET", ErrorKind.HEADERS_TOO_LARGE, e.getMessage());
        } catch (HttpException | MalformedMessageException e) {
            request = RefusedRequest.of("GET", ErrorKind.BAD_REQUEST, e.getMessage());
        }
        mHeadBytes += pendingBytes - buffer.length();
        // The length of the fields is known only now; a head has a limited number of them.
        if (!mConnection.tryReserveHead(mHeadBytes, lines.lines())) {
            return endHead(memoryRefusal());
        }
        return request == null ? null : endHead(validate(request));
    }

    private static HttpRequest memoryRefusal() {
        return RefusedRequest.of("GET", ErrorKind.OVERLOADED, ErrorText.MEMORY_SHORT);
    }

    private HttpRequest endHead(HttpRequest request) {
        if (mLines != null) {
            mLines.resetLines();
        }
        mHeadBytes = 0;
        mConnection.headComplete();
        return request;
    }

    /** Returns the request, or a refused request if it violates HTTP or exceeds a limit. */
    private HttpRequest validate(HttpRequest request) {
        if (request instanceof RefusedRequest) {
            return request;
        }
        String violation = findViolation(request);
        if (violation != null) {
            return RefusedRequest.of(request.getMethod(), ErrorKind.BAD_REQUEST, violation);
        }
        String exceededLimit = mConnection.findExceededLimit();
        if (exceededLimit != null) {
            return RefusedRequest.of(request.getMethod(), ErrorKind.RATE_LIMITED, exceededLimit);
        }
        return request;
    }

    /** Returns an error message if the request is invalid, or null. */
    private static @Nullable String findViolation(HttpRequest request) {
        ProtocolVersion version = request.getVersion();
        if (version != null && version.getMajor() != 1) {
            return String.format(ErrorText.HTTP_VERSION, version);
        }
        boolean isHttp10 = version != null && version.lessEquals(HttpVersion.HTTP_1_0);
        if (!isHttp10 && request.countHeaders("Host") != 1) {
            return ErrorText.HTTP_HOST;
        }
        String duplicateField = findDuplicateField(request);
        return duplicateField == null ? findFramingViolation(request, isHttp10) : duplicateField;
    }

    /**
     * Returns an error message if a field that identifies the caller or the command occurs more
     * than once, or null. Of two such values, another process could use the other one and so
     * attribute the request to another caller or command.
     */
    private static @Nullable String findDuplicateField(HttpRequest request) {
        for (String name : SINGLE_VALUE_FIELDS) {
            if (request.countHeaders(name) > 1) {
                return String.format(ErrorText.HTTP_FIELD_DUPLICATE, name);
            }
        }
        return null;
    }

    /**
     * Returns an error message if the end of the body is ambiguous, or null. Guards against request
     * smuggling: two processes that disagree about the end of a body could parse part of it as a
     * separate request.
     */
    private static @Nullable String findFramingViolation(HttpRequest request, boolean isHttp10) {
        SyntaxRule violation = HeaderField.lengthFieldsOf(request).findViolation(isHttp10);
        if (violation == null) {
            return null;
        }
        return switch (violation) {
            case CONFLICTING_LENGTHS -> ErrorText.HTTP_CONFLICTING_FRAMING;
            case TRANSFER_ENCODING -> ErrorText.HTTP_TRANSFER_ENCODING;
            default -> ErrorText.HTTP_CONTENT_LENGTH;
        };
    }
}
