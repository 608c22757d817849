package org.hemlockrack.daemon.http;

import java.net.SocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * Maps the local and remote address of each open connection to its session, so that the connection
 * of an exchange can be closed immediately. HttpCore's own endpoints close only after the exchange
 * in progress, so a backend server would complete a request that was cancelled.
 */
final class SessionRegistry extends ConnectionListener {
    private record Key(SocketAddress local, SocketAddress remote) {}

    private final ConcurrentMap<Key, IOSession> mSessions = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Key> mKeys = new ConcurrentHashMap<>();

    static SessionRegistry create() {
        return new SessionRegistry();
    }

    /**
     * Closes a connection immediately, even during an exchange.
     *
     * @param details addresses of the connection; null, or those of a closed connection, have no
     *     effect
     */
    void close(@Nullable EndpointDetails details) {
        if (details == null) {
            return;
        }
        IOSession session =
                mSessions.get(new Key(details.getLocalAddress(), details.getRemoteAddress()));
        if (session != null) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    @Override
    public void connected(IOSession session) {
        Key key = new Key(session.getLocalAddress(), session.getRemoteAddress());
        mKeys.put(session.getId(), key);
        mSessions.put(key, session);
    }

    @Override
    public void disconnected(IOSession session) {
        Key key = mKeys.remove(session.getId());
        if (key != null) {
            mSessions.remove(key, session);
        }
    }
}
