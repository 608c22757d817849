package org.hemlockrack.daemon.http;

import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.hemlockrack.errors.ErrorKind;

/**
 * Stands for a request that must not be handled. It passes through the connection like a request,
 * so that its refusal follows the answers of earlier pipelined requests.
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
     * @param method method of the request if it is known, else GET; HEAD gets no body
     * @param kind kind of the refusal
     * @param reason message of the refusal
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
