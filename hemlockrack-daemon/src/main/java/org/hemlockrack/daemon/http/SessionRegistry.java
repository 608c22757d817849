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
    private final ConcurrentMap<String, ResponseInput> mInputs = new ConcurrentHashMap<>();

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
        IOSession session = find(details);
        if (session != null) {
            session.close(CloseMode.IMMEDIATE);
        }
    }

    /**
     * Returns whether a connection has received bytes that nothing has consumed. Called on the
     * thread of the connection.
     *
     * @param details addresses of the connection; false for null and for those of a closed one
     */
    boolean hasUnreadBytes(@Nullable EndpointDetails details) {
        IOSession session = find(details);
        ResponseInput input = session == null ? null : mInputs.get(session.getId());
        return input != null && input.hasUnreadBytes();
    }

    private @Nullable IOSession find(@Nullable EndpointDetails details) {
        return details == null
                ? null
                : mSessions.get(new Key(details.getLocalAddress(), details.getRemoteAddress()));
    }

    /** Adds the input of a new connection. */
    void addInput(IOSession session, ResponseInput input) {
        mInputs.put(session.getId(), input);
    }

    @Override
    public void connected(IOSession session) {
        Key key = new Key(session.getLocalAddress(), session.getRemoteAddress());
        mKeys.put(session.getId(), key);
        mSessions.put(key, session);
    }

    @Override
    public void disconnected(IOSession session) {
        mInputs.remove(session.getId());
        Key key = mKeys.remove(session.getId());
        if (key != null) {
            mSessions.remove(key, session);
        }
    }
}
