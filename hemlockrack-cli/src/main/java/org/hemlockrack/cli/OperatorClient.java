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

/** Talks to the operator port of one instance. */
public final class OperatorClient {
    private static final Timeout CONNECT_TIMEOUT = Timeout.ofSeconds(5);

    /** Longer than any page takes by itself; a proposal is given up after 5 s. */
    private static final long ANSWER_MILLIS = 20_000;

    private static final int MAX_PORT = 65_535;

    private final HttpHost mHost;
    private long mAnswerMillis = ANSWER_MILLIS;

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
     * Lets the instance take longer for its answer.
     *
     * @param waitMillis how long the request itself asks the instance to wait, in milliseconds
     * @return this client
     */
    public OperatorClient addWaitMillis(long waitMillis) {
        mAnswerMillis = ANSWER_MILLIS + waitMillis;
        return this;
    }

    /**
     * One header field of a request.
     *
     * @param name the name
     * @param value the value
     */
    public record Field(String name, String value) {}

    /**
     * Sends a request.
     *
     * @param method the method
     * @param path path with query
     * @param fields header fields
     * @param body the body, or null
     * @return the answer
     * @throws HemlockrackException with {@link ErrorKind#NO_BACKEND} if no connection was made,
     *     with {@link ErrorKind#OUTCOME_UNKNOWN} if the answer is missing or broken
     */
    public Answer send(String method, String path, List<Field> fields, @Nullable String body) {
        BasicClassicHttpRequest request = new BasicClassicHttpRequest(method, mHost, path);
        for (Field field : fields) {
            request.addHeader(new BasicHeader(field.name(), field.value()));
        }
        if (body != null) {
            request.setEntity(new StringEntity(body, ContentType.TEXT_PLAIN));
        }
        SocketConfig sockets =
                SocketConfig.custom().setSoTimeout(Timeout.ofMilliseconds(mAnswerMillis)).build();
        try (HttpRequester requester =
                RequesterBootstrap.bootstrap().setSocketConfig(sockets).create()) {
            return requester.execute(
                    mHost,
                    request,
                    CONNECT_TIMEOUT,
                    HttpCoreContext.create(),
                    response ->
                            new Answer(
                                    response.getCode(),
                                    response.getFirstHeader("ETag") == null
                                            ? ""
                                            : response.getFirstHeader("ETag").getValue(),
                                    response.getEntity() == null
                                            ? ""
                                            : EntityUtils.toString(response.getEntity())));
        } catch (ConnectException | NoRouteToHostException | UnknownHostException e) {
            throw HemlockrackException.of(ErrorKind.NO_BACKEND, fault("cannot be reached", e), e);
        } catch (IOException | HttpException e) {
            throw HemlockrackException.of(ErrorKind.OUTCOME_UNKNOWN, fault("did not answer", e), e);
        }
    }

    private String fault(String what, Exception cause) {
        return "instance at " + mHost.toHostString() + " " + what + ": " + cause.getMessage();
    }

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param etag the ETag header field, empty if there is none
     * @param body the body
     */
    public record Answer(int status, String etag, String body) {
        private static final int FIRST_ERROR_STATUS = 400;

        /** Returns whether the request was refused or failed. */
        public boolean isError() {
            return status >= FIRST_ERROR_STATUS;
        }
    }
}
