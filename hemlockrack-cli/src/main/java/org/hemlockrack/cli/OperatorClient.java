package org.hemlockrack.cli;

import java.io.IOException;
import java.net.ConnectException;
import java.net.NoRouteToHostException;
import java.net.UnknownHostException;
import java.util.List;
import org.apache.hc.core5.http.ContentType;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.impl.bootstrap.HttpRequester;
import org.apache.hc.core5.http.impl.bootstrap.RequesterBootstrap;
import org.apache.hc.core5.http.io.SocketConfig;
import org.apache.hc.core5.http.io.entity.EntityUtils;
import org.apache.hc.core5.http.io.entity.StringEntity;
import org.apache.hc.core5.http.message.BasicClassicHttpRequest;
import org.apache.hc.core5.http.message.BasicHeader;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.apache.hc.core5.util.Timeout;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** HTTP client for the operator port of one instance. */
public final class OperatorClient {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(5);

    /** Longer than any response takes, as the instance gives up a proposal after 5 s. */
    private static final long RESPONSE_TIMEOUT_MILLIS = 20_000;

    private static final int MAX_PORT = 65_535;

    private final HttpHost mHost;
    private long mResponseTimeoutMillis = RESPONSE_TIMEOUT_MILLIS;

    private OperatorClient(HttpHost host) {
        mHost = host;
    }

    /**
     * Creates a client.
     *
     * @param address {@code ip:port} of an operator port
     * @return the client
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if the address is malformed
     */
    public static OperatorClient of(String address) {
        int colon = address.lastIndexOf(':');
        boolean digits = colon > 0 && address.substring(colon + 1).matches("[0-9]{1,5}");
        int port = digits ? Integer.parseInt(address.substring(colon + 1)) : 0;
        if (port < 1 || port > MAX_PORT) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "address \"" + address + "\"; allowed: ip:port");
        }
        return new OperatorClient(new HttpHost("http", address.substring(0, colon), port));
    }

    /**
     * Extends the response timeout for a request that asks the instance to wait.
     *
     * @param waitMillis longest wait that the request asks for, in milliseconds
     * @return this client
     */
    public OperatorClient addWaitMillis(long waitMillis) {
        mResponseTimeoutMillis = RESPONSE_TIMEOUT_MILLIS + waitMillis;
        return this;
    }

    /**
     * One header field of a request.
     *
     * @param name the name
     * @param value the value
     */
    public record HeaderField(String name, String value) {}

    /**
     * Sends a request.
     *
     * @param method the method
     * @param path path with query
     * @param headers header fields
     * @param body the body, or null
     * @return the response
     * @throws HemlockrackException with {@link ErrorKind#NO_BACKEND} if no connection was made, or
     *     with {@link ErrorKind#OUTCOME_UNKNOWN} if the response is missing or incomplete
     */
    public Response send(
            String method, String path, List<HeaderField> headers, @Nullable String body) {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, mHost, path);
        for (HeaderField field : headers) {
            request.addHeader(new BasicHeader(field.name(), field.value()));
        }
        if (body != null) {
            request.setEntity(new StringEntity(body, ContentType.TEXT_PLAIN));
        }
        SocketConfig sockets =
                SocketConfig.custom()
                        .setSoTimeout(Timeout.ofMilliseconds(mResponseTimeoutMillis))
                        .build();
        try (HttpRequester requester =
                RequesterBootstrap.bootstrap()
                        .setSocketConfig(sockets)
                        .setConnectionFactory(OperatorConnection::of)
                        .create()) {
            return requester.execute(
                    mHost,
                    request,
                    CONNECT_TIMEOUT,
                    HttpCoreContext.create(),
                    response ->
                            new Response(
                                    response.getCode(),
                                    response.getFirstHeader("ETag") == null
                                            ? ""
                                            : response.getFirstHeader("ETag").getValue(),
                                    response.getEntity() == null
                                            ? ""
                                            : EntityUtils.toString(response.getEntity())));
        } catch (ConnectException | NoRouteToHostException | UnknownHostException e) {
            throw HemlockrackException.of(
                    ErrorKind.NO_BACKEND, errorMessage("cannot be reached", e), e);
        } catch (IOException | HttpException e) {
            throw HemlockrackException.of(
                    ErrorKind.OUTCOME_UNKNOWN, errorMessage("did not respond", e), e);
        }
    }

    private String errorMessage(String problem, Exception cause) {
        return "instance at " + mHost.toHostString() + " " + problem + ": " + cause.getMessage();
    }

    /**
     * A response.
     *
     * @param status HTTP status
     * @param etag the ETag header field, empty if there is none
     * @param body the body
     */
    public record Response(int status, String etag, String body) {
        private static final int FIRST_ERROR_STATUS = 400;

        /** Returns whether the request was rejected or failed. */
        public boolean isError() {
            return status >= FIRST_ERROR_STATUS;
        }
    }
}
