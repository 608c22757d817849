package org.hemlockrack.daemon.tls;

import javax.net.ssl.SSLEngine;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.HttpHost;
import org.apache.hc.core5.http.nio.ssl.TlsStrategy;
import org.apache.hc.core5.net.NamedEndpoint;
import org.apache.hc.core5.reactor.ssl.SSLBufferMode;
import org.apache.hc.core5.reactor.ssl.TransportSecurityLayer;
import org.apache.hc.core5.util.Timeout;
import org.jspecify.annotations.Nullable;

/**
 * Starts mutual TLS on HTTP connections with the current keys. Host names are not verified, because
 * instances are addressed by IP address; a peer is trusted if and only if its certificate is
 * trusted by the trust file.
 */
public final class MutualTlsStrategy implements TlsStrategy {
    private final TlsKeys mKeys;

    private MutualTlsStrategy(TlsKeys keys) {
        mKeys = keys;
    }

    /**
     * Creates a strategy.
     *
     * @param keys the keys
     * @return the strategy
     */
    public static MutualTlsStrategy of(TlsKeys keys) {
        return new MutualTlsStrategy(keys);
    }

    @Override
    public void upgrade(
            TransportSecurityLayer session,
            @Nullable NamedEndpoint endpoint,
            @Nullable Object attachment,
            Timeout handshakeTimeout,
            @Nullable FutureCallback<TransportSecurityLayer> callback) {
        session.startTls(
                mKeys.currentContext(),
                endpoint,
                SSLBufferMode.STATIC,
                (name, engine) -> requireClientCertificate(engine),
                null,
                handshakeTimeout,
                callback);
    }

    private static void requireClientCertificate(SSLEngine engine) {
        if (!engine.getUseClientMode()) {
            engine.setNeedClientAuth(true);
        }
    }

    /** Required by the interface; replaced by the other overload. */
    @Deprecated
    @Override
    public boolean upgrade(
            TransportSecurityLayer session,
            HttpHost host,
            java.net.SocketAddress local,
            java.net.SocketAddress remote,
            Object attachment,
            Timeout handshakeTimeout) {
        upgrade(session, host, attachment, handshakeTimeout, null);
        return true;
    }
}
