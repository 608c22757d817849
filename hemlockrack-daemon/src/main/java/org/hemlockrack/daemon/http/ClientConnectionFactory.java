package org.hemlockrack.daemon.http;

import java.nio.channels.ReadableByteChannel;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.URIScheme;
import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.BasicHttpTransportMetrics;
import org.apache.hc.core5.http.impl.DefaultConnectionReuseStrategy;
import org.apache.hc.core5.http.impl.DefaultContentLengthStrategy;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandler;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexer;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ContentDecoder;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.http.protocol.HttpProcessorBuilder;
import org.apache.hc.core5.http.protocol.RequestContent;
import org.apache.hc.core5.http.protocol.RequestTargetHost;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/** Creates the protocol handlers of client connections, each with its {@link ResponseInput}. */
final class ClientConnectionFactory implements IOEventHandlerFactory {
    private static final int MAX_TRAILER_COUNT = 32;
    private static final int MAX_TRAILER_LINE_BYTES = 2 << 10;

    private final Http1Config mConfig;
    private final Http1Config mTrailerLimits;
    private final TlsStrategy mTls;
    private final Timeout mHandshakeTimeout;
    private final SessionRegistry mSessions;
    private final HttpProcessor mProcessor;
    private final DefaultHttpResponseParserFactory mParsers;
    private final DefaultHttpRequestWriterFactory mWriters;

    private ClientConnectionFactory(
            Http1Config config,
            TlsStrategy tls,
            Timeout handshakeTimeout,
            SessionRegistry sessions,
            HttpProcessor processor) {
        mProcessor = processor;
        mConfig = config;
        mTls = tls;
        mHandshakeTimeout = handshakeTimeout;
        mSessions = sessions;
        mParsers = new DefaultHttpResponseParserFactory(config);
        mWriters = new DefaultHttpRequestWriterFactory(config);
        mTrailerLimits =
                Http1Config.copy(config)
                        .setMaxHeaderCount(MAX_TRAILER_COUNT)
                        .setMaxLineLength(MAX_TRAILER_LINE_BYTES)
                        .build();
    }

    /**
     * Creates a factory.
     *
     * @param config limits and buffer sizes of a connection
     * @param tls starts TLS on the connections whose target asks for it
     * @param handshakeTimeout timeout of a TLS handshake
     * @param sessions receives the input of each connection
     * @param expectsContinue whether a body is only sent once the server has asked for it
     * @return the factory
     */
    static ClientConnectionFactory of(
            Http1Config config,
            TlsStrategy tls,
            Timeout handshakeTimeout,
            SessionRegistry sessions,
            boolean expectsContinue) {
        HttpProcessor processor =
                expectsContinue
                        ? HttpProcessors.client()
                        : HttpProcessorBuilder.create()
                                .add(new RequestTargetHost())
                                .add(new RequestContent())
                                .build();
        return new ClientConnectionFactory(config, tls, handshakeTimeout, sessions, processor);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        ResponseInput input = new ResponseInput();
        mSessions.addInput(session, input);
        boolean isSecure =
                session.getInitialEndpoint() instanceof HttpHost host
                        && URIScheme.HTTPS.same(host.getSchemeName());
        if (isSecure) {
            mTls.upgrade(
                    session, session.getInitialEndpoint(), attachment, mHandshakeTimeout, null);
        }
        return new ClientHttp1IOEventHandler(new Duplexer(session, input));
    }

    /** Writes the requests and reads the responses of one connection. */
    private final class Duplexer extends ClientHttp1StreamDuplexer {
        Duplexer(ProtocolIOSession session, ResponseInput input) {
            super(
                    session,
                    mProcessor,
                    mConfig,
                    CharCodingConfig.DEFAULT,
                    DefaultConnectionReuseStrategy.INSTANCE,
                    input.guarding(WholeHeadParser.of(mParsers.create())),
                    input.counting(mWriters.create()),
                    DefaultContentLengthStrategy.INSTANCE,
                    DefaultContentLengthStrategy.INSTANCE,
                    null);
        }

        @Override
        protected @Nullable ContentDecoder createContentDecoder(
                long length,
                ReadableByteChannel channel,
                SessionInputBuffer buffer,
                BasicHttpTransportMetrics metrics)
                throws HttpException {
            if (length == ContentLengthStrategy.CHUNKED) {
                return WholeBodyDecoder.ofChunks(channel, buffer, mTrailerLimits, metrics);
            }
            return super.createContentDecoder(length, channel, buffer, metrics);
        }
    }
}
