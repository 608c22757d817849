package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpMessage;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseWriterFactory;
import org.apache.hc.core5.http.impl.nio.ServerHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ServerHttp1StreamDuplexer;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Creates the server side of each accepted connection, with its limits. */
final class ServerConnections implements IOEventHandlerFactory {
    private static final HttpProcessor PROCESSOR = HttpProcessors.server("hemlockrack");

    private final CallHandler mHandler;
    private final ConnectionTable mTable;
    private final @Nullable TlsStrategy mTls;
    private final Http1Config mConfig;

    ServerConnections(CallHandler handler, ConnectionTable table, @Nullable TlsStrategy tls) {
        mHandler = handler;
        mTls = tls;
        mTable = table;
        mConfig =
                Http1Config.custom()
                        .setMaxHeaderCount(table.limits().maxHeaderCount())
                        .setMaxLineLength(table.limits().maxHeaderLineBytes())
                        .build();
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, @Nullable Object attachment) {
        ClientConnection connection = new ClientConnection(session, mTable.limits());
        if (mTls != null) {
            Timeout timeout = Timeout.ofMilliseconds(mTable.limits().headTimeoutMillis());
            mTls.upgrade(session, null, attachment, timeout, null);
        }
        return new Events(new Duplexer(session, connection), connection);
    }

    private AsyncServerExchangeHandler exchange(HttpRequest request, ClientConnection connection) {
        if (request instanceof RefusedRequest refused) {
            return new ServerExchange(
                    (call, responder) -> responder.sendError(refused.kind(), refused.reason(), 0),
                    connection);
        }
        return new ServerExchange(mHandler, connection);
    }

    /** A refused request has no end that could be trusted, so its body lasts to the end. */
    private static long bodyLength(HttpMessage message) throws HttpException {
        return message instanceof RefusedRequest
                ? ContentLengthStrategy.CHUNKED
                : DefaultContentLengthStrategy.INSTANCE.determineLength(message);
    }

    /** Reads requests and writes answers of one connection. */
    private final class Duplexer extends ServerHttp1StreamDuplexer {
        private final ClientConnection mConnection;
        private boolean mRefused;

        Duplexer(ProtocolIOSession session, ClientConnection connection) {
            super(
                    session,
                    PROCESSOR,
                    (request, context) -> exchange(request, connection),
                    "http",
                    mConfig,
                    CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE,
                    new RequestParser(mConfig, connection),
                    DefaultHttpResponseWriterFactory.INSTANCE.create(),
                    ServerConnections::bodyLength,
                    DefaultContentLengthStrategy.INSTANCE,
                    null,
                    null);
            mConnection = connection;
        }

        @Override
        protected boolean handleIncomingMessage(HttpRequest request) throws HttpException {
            mRefused = request instanceof RefusedRequest;
            return super.handleIncomingMessage(request);
        }

        @Override
        protected @Nullable ContentDecoder createContentDecoder(
                long length,
                ReadableByteChannel channel,
                SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (mRefused) {
                return new BodyDecoder(null, channel, buffer, mConnection);
            }
            ContentDecoder decoder = super.createContentDecoder(length, channel, buffer, metrics);
            return decoder == null ? null : new BodyDecoder(decoder, channel, buffer, mConnection);
        }
    }

    /** Tells the table about the connection. */
    private final class Events implements IOEventHandler {
        private final IOEventHandler mEvents;
        private final ClientConnection mConnection;

        Events(Duplexer duplexer, ClientConnection connection) {
            mEvents = new ServerHttp1IOEventHandler(duplexer);
            mConnection = connection;
        }

        @Override
        public void connected(IOSession session) throws IOException {
            mTable.opened(mConnection);
            mEvents.connected(session);
        }

        @Override
        public void inputReady(IOSession session, @Nullable ByteBuffer src) throws IOException {
            mEvents.inputReady(session, src);
        }

        @Override
        public void outputReady(IOSession session) throws IOException {
            mEvents.outputReady(session);
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) throws IOException {
            mEvents.timeout(session, timeout);
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            mEvents.exception(session, cause);
        }

        @Override
        public void disconnected(IOSession session) {
            mTable.closed(mConnection);
            mEvents.disconnected(session);
        }
    }
}
