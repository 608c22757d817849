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
 * Starts TLS on HTTP connections with the keys in force; both sides present a certificate. Names
 * are not compared, because instances are reached by address; the trust file alone decides.
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
                (name, engine) -> prepare(engine),
                null,
                handshakeTimeout,
                callback);
    }

    private static void prepare(SSLEngine engine) {
        if (!engine.getUseClientMode()) {
            engine.setNeedClientAuth(true);
        }
    }

    /** Replaced by the method above. */
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
