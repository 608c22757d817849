package org.hemlockrack.daemon.http;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.hemlockrack.errors.ErrorKind;

/**
 * Placeholder for a request that is refused before it reaches the handler. It is queued like any
 * other request, so that its error response follows the responses to earlier pipelined requests.
 */
final class RefusedRequest extends BasicHttpRequest {
    private static final long serialVersionUID = 1L;

    private final ErrorKind mKind;
    private final String mReason;

    private RefusedRequest(String method, ErrorKind kind, String reason) {
        super(method, "/");
        mKind = kind;
        mReason = reason;
        addHeader("Host", "refused");
    }

    /**
     * Creates a refused request.
     *
     * @param method method of the request, or GET if it is not known; a response to HEAD has no
     *     body
     * @param kind error kind of the response
     * @param reason error message of the response
     * @return the refused request
     */
    static RefusedRequest of(String method, ErrorKind kind, String reason) {
        return new RefusedRequest(method, kind, reason);
    }

    ErrorKind kind() {
        return mKind;
    }

    String reason() {
        return mReason;
    }
}
