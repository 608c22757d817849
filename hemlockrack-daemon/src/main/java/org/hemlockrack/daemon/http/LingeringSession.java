package org.hemlockrack.daemon.http;

import javax.net.ssl.SSLContext;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.ProtocolIOSession;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.SSLSessionInitializer;
import org.apache.hc.core5.reactor.ssl.SSLSessionVerifier;
import org.apache.hc.core5.reactor.ssl.TlsDetails;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * A session that HttpCore closes in the way of {@link ClientConnection#closeGracefully}: with input
 * that nobody has read, a close of the socket would reset the connection.
 */
final class LingeringSession extends ForwardingSession implements ProtocolIOSession {
    private final ProtocolIOSession mDelegate;
    private final ClientConnection mConnection;

    LingeringSession(ProtocolIOSession session, ClientConnection connection) {
        super(session);
        mDelegate = session;
        mConnection = connection;
    }

    @Override
    public void close() {
        close(CloseMode.GRACEFUL);
    }

    @Override
    public void close(CloseMode mode) {
        if (mode == CloseMode.IMMEDIATE) {
            mDelegate.close(mode);
            return;
        }
        mConnection.closeGracefully();
    }

    @Override
    public void startTls(
            SSLContext context,
            NamedEndpoint endpoint,
            SSLBufferMode bufferMode,
            SSLSessionInitializer initializer,
            SSLSessionVerifier verifier,
            Timeout handshakeTimeout) {
        mDelegate.startTls(context, endpoint, bufferMode, initializer, verifier, handshakeTimeout);
    }

    @Override
    public @Nullable TlsDetails getTlsDetails() {
        return mDelegate.getTlsDetails();
    }

    @Override
    public NamedEndpoint getInitialEndpoint() {
        return mDelegate.getInitialEndpoint();
    }
}
