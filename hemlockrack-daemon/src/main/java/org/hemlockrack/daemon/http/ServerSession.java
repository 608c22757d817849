package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
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
 * The session of a client as HttpCore uses it. It is closed in the way of {@link
 * ClientConnection#closeGracefully}: with input that nobody has read, a close of the socket would
 * reset the connection. Its reads are bounded, because HttpCore reads on while the socket has data:
 * a client that sends without pause would keep the other connections of the I/O thread waiting.
 */
final class ServerSession extends ForwardingSession implements ProtocolIOSession {
    /** Bytes that are read before the other connections of the I/O thread get their turn. */
    private static final int MAX_READ_BYTES = 16 << 10;

    private final ProtocolIOSession mDelegate;
    private final ClientConnection mConnection;
    private final boolean mBoundsReads;
    private int mReadBytes;

    private ServerSession(
            ProtocolIOSession session, ClientConnection connection, boolean boundsReads) {
        super(session);
        mDelegate = session;
        mConnection = connection;
        mBoundsReads = boundsReads;
    }

    static ServerSession ofPlainText(ProtocolIOSession session, ClientConnection connection) {
        return new ServerSession(session, connection, true);
    }

    /**
     * Creates a session without bounded reads: TLS keeps decrypted input of which the selector does
     * not know, so what is left unread might never be read.
     */
    static ServerSession ofTls(ProtocolIOSession session, ClientConnection connection) {
        return new ServerSession(session, connection, false);
    }

    /** Allows further reads. Called when the I/O thread turns to this connection. */
    void startReading() {
        mReadBytes = 0;
    }

    @Override
    public int read(ByteBuffer dst) throws IOException {
        if (mBoundsReads && mReadBytes >= MAX_READ_BYTES) {
            return 0;
        }
        int bytes = super.read(dst);
        mReadBytes += Math.max(0, bytes);
        return bytes;
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
