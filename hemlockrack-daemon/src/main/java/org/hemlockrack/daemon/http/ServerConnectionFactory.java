package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.SelectionKey;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.IOSession;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Creates the HTTP protocol handler of each accepted connection and applies the port's limits. */
final class ServerConnectionFactory implements IOEventHandlerFactory {
    private static final HttpProcessor PROCESSOR = HttpProcessors.server("hemlockrack");

    /**
     * Initial buffer size. Each connection allocates three buffers of this size; a longer header
     * line enlarges one of them.
     */
    private static final int BUFFER_BYTES = 4 << 10;

    private final CallHandler mHandler;
    private final ConnectionLimiter mLimiter;
    private final @Nullable TlsStrategy mTls;
    private final Http1Config mConfig;

    ServerConnectionFactory(
            CallHandler handler, ConnectionLimiter limiter, @Nullable TlsStrategy tls) {
        mHandler = handler;
        mTls = tls;
        mLimiter = limiter;
        mConfig =
                Http1Config.custom()
                        .setBufferSize(BUFFER_BYTES)
                        .setMaxHeaderCount(limiter.limits().maxHeaderCount())
                        .setMaxLineLength(limiter.limits().maxHeaderLineBytes())
                        .build();
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, @Nullable Object attachment) {
        ClientConnection connection = new ClientConnection(session, mLimiter);
        mLimiter.connectionAccepted(connection);
        if (!connection.tryReserveConnection(mTls != null)) {
            return new ClosingEventHandler(connection);
        }
        if (mTls != null) {
            Timeout timeout = Timeout.ofMilliseconds(mLimiter.limits().headTimeoutMillis());
            mTls.upgrade(session, null, attachment, timeout, null);
        }
        ServerSession bounded =
                mTls == null
                        ? ServerSession.ofPlainText(session, connection)
                        : ServerSession.ofTls(session, connection);
        return new TrackingEventHandler(new Duplexer(bounded, connection), bounded, connection);
    }

    private AsyncServerExchangeHandler createExchange(
            HttpRequest request, ClientConnection connection) {
        if (request instanceof RefusedRequest refused) {
            return new ServerExchange(
                    (call, responder) -> responder.sendError(refused.kind(), refused.reason(), 0),
                    connection);
        }
        return new ServerExchange(mHandler, connection);
    }

    /**
     * Determines the length of a request body. The end of a refused request cannot be trusted, so
     * its body extends to the end of the connection.
     */
    private static long bodyLength(HttpMessage message) throws HttpException {
        return message instanceof RefusedRequest
                ? ContentLengthStrategy.CHUNKED
                : DefaultContentLengthStrategy.INSTANCE.determineLength(message);
    }

    /** Reads the requests and writes the responses of one connection. */
    private final class Duplexer extends ServerHttp1StreamDuplexer {
        private final ClientConnection mConnection;
        private boolean mRefused;

        Duplexer(ProtocolIOSession session, ClientConnection connection) {
            super(
                    session,
                    PROCESSOR,
                    (request, context) -> createExchange(request, connection),
                    "http",
                    mConfig,
                    CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE,
                    new RequestParser(mConfig, connection),
                    DefaultHttpResponseWriterFactory.INSTANCE.create(),
                    ServerConnectionFactory::bodyLength,
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
            ContentDecoder decoder =
                    length == ContentLengthStrategy.CHUNKED
                            ? WholeBodyDecoder.ofChunks(channel, buffer, mConfig, metrics)
                            : super.createContentDecoder(length, channel, buffer, metrics);
            return decoder == null ? null : new BodyDecoder(decoder, channel, buffer, mConnection);
        }
    }

    /**
     * Reports the start and the end of the connection to the limiter, and closes it when the client
     * has closed its side while responses are pending.
     */
    private final class TrackingEventHandler implements IOEventHandler {
        private final IOEventHandler mDelegate;
        private final ServerSession mSession;
        private final ClientConnection mConnection;

        TrackingEventHandler(
                Duplexer duplexer, ServerSession session, ClientConnection connection) {
            mDelegate = new ServerHttp1IOEventHandler(duplexer);
            mSession = session;
            mConnection = connection;
        }

        @Override
        public void connected(IOSession session) throws IOException {
            mLimiter.connectionOpened(mConnection);
            mDelegate.connected(session);
        }

        @Override
        public void inputReady(IOSession session, @Nullable ByteBuffer src) throws IOException {
            if (mConnection.isHalfClosed()) {
                mConnection.discardInput();
                return;
            }
            mSession.startReading();
            mDelegate.inputReady(session, src);
            if (mConnection.hasOpenExchanges() && !isReading(session)) {
                closeAtEndOfInput(session);
            }
        }

        private static boolean isReading(IOSession session) {
            return (session.getEventMask() & SelectionKey.OP_READ) != 0;
        }

        /**
         * Closes the connection if its input has ended. HttpCore takes that for a client that still
         * reads, and stops reading until the response is written; the work for a client that has
         * left would go on until then.
         */
        private void closeAtEndOfInput(IOSession session) throws IOException {
            ByteBuffer next = ByteBuffer.allocate(1);
            int bytes = session.read(next);
            if (bytes < 0) {
                session.close(CloseMode.IMMEDIATE);
            } else if (bytes > 0) {
                mDelegate.inputReady(session, next.flip());
            }
        }

        @Override
        public void outputReady(IOSession session) throws IOException {
            if (mConnection.isHalfClosed()) {
                session.clearEvent(SelectionKey.OP_WRITE);
            } else {
                mDelegate.outputReady(session);
                if ((session.getEventMask() & SelectionKey.OP_WRITE) == 0) {
                    mConnection.onOutputWritten();
                }
            }
            if (mConnection.hasChecks()) {
                checkConnected(session);
            }
        }

        private void checkConnected(IOSession session) throws IOException {
            List<CompletableFuture<Boolean>> checks = mConnection.takeChecks();
            boolean connected = false;
            try {
                if (!mConnection.isHalfClosed()) {
                    closeAtEndOfInput(session);
                }
                connected = session.isOpen();
            } finally {
                // The read fails if the client has reset the connection.
                for (CompletableFuture<Boolean> check : checks) {
                    check.complete(connected);
                }
            }
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) throws IOException {
            mDelegate.timeout(session, timeout);
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            mDelegate.exception(session, cause);
        }

        @Override
        public void disconnected(IOSession session) {
            mLimiter.connectionClosed(mConnection);
            mDelegate.disconnected(session);
            mConnection.takeChecks().forEach(check -> check.complete(false));
        }
    }

    /** Closes a connection that has no memory, without the buffers of one that is used. */
    private final class ClosingEventHandler implements IOEventHandler {
        private final ClientConnection mConnection;

        ClosingEventHandler(ClientConnection connection) {
            mConnection = connection;
        }

        @Override
        public void connected(IOSession session) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void inputReady(IOSession session, @Nullable ByteBuffer src) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void outputReady(IOSession session) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void timeout(IOSession session, Timeout timeout) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void exception(IOSession session, Exception cause) {
            session.close(CloseMode.IMMEDIATE);
        }

        @Override
        public void disconnected(IOSession session) {
            mLimiter.connectionClosed(mConnection);
        }
    }
}
