package org.hemlockrack.daemon.peer;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.ThreadPoolExecutor;
import org.apache.thrift.TException;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.wire.Envelope;
import org.jspecify.annotations.Nullable;

/**
 * Sends one-way messages to one other instance over one connection, in order, on a separate thread.
 * Messages that cannot be sent are dropped; the protocols retransmit what must arrive.
 */
public final class PeerMessenger implements AutoCloseable {
    /** Receives what is known of the other instance. Called on any thread. */
    public interface Listener {
        /**
         * Called when a message could not be sent.
         *
         * @param cause the cause
         */
        void onUnreachable(Exception cause);

        /**
         * Called when the connection is given up because nothing was answered in time; not called
         * again before {@link #onAnswering}.
         *
         * @param limitMillis the time limit in milliseconds
         */
        void onSilent(long limitMillis);

        /** Called when the instance answers again after {@link #onSilent}. */
        void onAnswering();
    }

    private final String mAddress;
    private final @Nullable TlsKeys mKeys;
    private final Executor mAnswerExecutor;
    private final Listener mListener;
    private final ThreadPoolExecutor mExecutor;
    private final ProbeTimeout mProbeTimeout = new ProbeTimeout();
    private final ReconnectDelay mReconnectDelay = new ReconnectDelay();

    private volatile @Nullable MessageConnection mConnection;
    private boolean mSilent;

    private PeerMessenger(
            String address, @Nullable TlsKeys keys, Executor answerExecutor, Listener listener) {
        mAddress = address;
        mKeys = keys;
        mAnswerExecutor = answerExecutor;
        mListener = listener;
        mExecutor = PeerExecutors.newSender("peer-messages-to-" + address);
    }

    /**
     * Creates a messenger, which connects when it is first used.
     *
     * @param address {@code ip:port}
     * @param keys keys for TLS, or null for plain text
     * @param answerExecutor waits for the answers of the instance; needs a thread for each
     *     messenger
     * @param listener receives what is known of the other instance
     * @return the messenger
     */
    public static PeerMessenger create(
            String address, @Nullable TlsKeys keys, Executor answerExecutor, Listener listener) {
        return new PeerMessenger(address, keys, answerExecutor, listener);
    }

    /**
     * Queues one-way messages, which may be lost.
     *
     * @param envelopes the messages
     */
    public void deliver(List<Envelope> envelopes) {
        MessageConnection connection = mConnection;
        if (connection != null) {
            connection.closeIfBlocked();
        }
        List<Envelope> copy = new ArrayList<>(envelopes);
        mExecutor.execute(() -> send(copy));
    }

    private void send(List<Envelope> envelopes) {
        MessageConnection connection = mConnection;
        try {
            if (connection == null || connection.isClosed()) {
                if (!mReconnectDelay.tryAcquire()) {
                    // The failure of the last connection attempt was reported already.
                    return;
                }
                connection = null;
                connection = connect();
            }
            connection.send(envelopes);
        } catch (TException e) {
            boolean wasGivenUp = connection != null && connection.isClosed();
            disconnect();
            if (!wasGivenUp) {
                mListener.onUnreachable(e);
            }
        } catch (RuntimeException e) {
            disconnect();
            throw e;
        }
    }

    private MessageConnection connect() throws TException {
        mConnection = null;
        PeerSocket socket = PeerSocket.open(mAddress, mKeys);
        MessageConnection connection =
                new MessageConnection(
                        socket, mAnswerExecutor, mProbeTimeout, new ConnectionListener());
        mConnection = connection;
        return connection;
    }

    private void disconnect() {
        MessageConnection connection = mConnection;
        if (connection != null) {
            connection.close();
        }
        mConnection = null;
    }

    private final class ConnectionListener implements MessageConnection.Listener {
        @Override
        public void onAnswer() {
            if (setSilent(false)) {
                mListener.onAnswering();
            }
        }

        @Override
        public void onSilent(long limitMillis) {
            if (setSilent(true)) {
                mListener.onSilent(limitMillis);
            }
        }
    }

    /** Returns whether the value changed. */
    private synchronized boolean setSilent(boolean silent) {
        boolean isChanged = mSilent != silent;
        mSilent = silent;
        return isChanged;
    }

    @Override
    public void close() {
        mExecutor.shutdownNow();
        MessageConnection connection = mConnection;
        if (connection != null) {
            connection.close();
        }
    }
}
