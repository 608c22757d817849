package org.hemlockrack.daemon.http;

import java.net.SocketAddress;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentMap;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.io.CloseMode;
import org.apache.hc.core5.reactor.IOSession;
import org.jspecify.annotations.Nullable;

/**
 * Finds the session of an exchange, to close it at once. HttpCore's own endpoints only close after
 * the exchange in progress, which would let a backend server finish work nobody waits for.
 */
final class SessionRegistry extends ConnectionListener {
    private record Key(SocketAddress local, SocketAddress remote) {}

    private final ConcurrentMap<Key, IOSession> mSessions = new ConcurrentHashMap<>();
    private final ConcurrentMap<String, Key> mKeys = new ConcurrentHashMap<>();

    static SessionRegistry create() {
        return new SessionRegistry();
    }

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
