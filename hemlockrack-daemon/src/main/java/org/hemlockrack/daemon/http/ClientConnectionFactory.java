package org.hemlockrack.daemon.http;

import org.apache.hc.core5.http.config.CharCodingConfig;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.HttpProcessors;
import org.apache.hc.core5.http.impl.nio.ClientHttp1IOEventHandlerFactory;
import org.apache.hc.core5.http.impl.nio.ClientHttp1StreamDuplexerFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpRequestWriterFactory;
import org.apache.hc.core5.http.impl.nio.DefaultHttpResponseParserFactory;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.http.protocol.HttpProcessor;
import org.apache.hc.core5.reactor.IOEventHandler;
import org.apache.hc.core5.reactor.IOEventHandlerFactory;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.util.Timeout;

/** Creates the protocol handlers of client connections, each with its {@link ResponseInput}. */
final class ClientConnectionFactory implements IOEventHandlerFactory {
    private final Http1Config mConfig;
    private final TlsStrategy mTls;
    private final Timeout mHandshakeTimeout;
    private final SessionRegistry mSessions;
    private final HttpProcessor mProcessor = HttpProcessors.client();
    private final DefaultHttpResponseParserFactory mParsers;
    private final DefaultHttpRequestWriterFactory mWriters;

    private ClientConnectionFactory(
            Http1Config config,
            TlsStrategy tls,
            Timeout handshakeTimeout,
            SessionRegistry sessions) {
        mConfig = config;
        mTls = tls;
        mHandshakeTimeout = handshakeTimeout;
        mSessions = sessions;
        mParsers = new DefaultHttpResponseParserFactory(config);
        mWriters = new DefaultHttpRequestWriterFactory(config);
    }

    /**
     * Creates a factory.
     *
     * @param config limits and buffer sizes of a connection
     * @param tls starts TLS on the connections whose target asks for it
     * @param handshakeTimeout timeout of a TLS handshake
     * @param sessions receives the input of each connection
     * @return the factory
     */
    static ClientConnectionFactory of(
            Http1Config config,
            TlsStrategy tls,
            Timeout handshakeTimeout,
            SessionRegistry sessions) {
        return new ClientConnectionFactory(config, tls, handshakeTimeout, sessions);
    }

    @Override
    public IOEventHandler createHandler(ProtocolIOSession session, Object attachment) {
        ResponseInput input = new ResponseInput();
        mSessions.addInput(session, input);
        ClientHttp1StreamDuplexerFactory streams =
                new ClientHttp1StreamDuplexerFactory(
                        mProcessor,
                        mConfig,
                        CharCodingConfig.DEFAULT,
                        null,
                        () -> input.guarding(mParsers.create()),
                        () -> input.counting(mWriters.create()),
                        null);
        return new ClientHttp1IOEventHandlerFactory(streams, mTls, mHandshakeTimeout)
                .createHandler(session, attachment);
    }
}
