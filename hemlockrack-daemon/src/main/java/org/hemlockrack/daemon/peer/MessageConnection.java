package org.hemlockrack.daemon.peer;

import java.net.SocketTimeoutException;
import java.util.List;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolUtil;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.layered.TFramedTransport;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Peer;

/**
 * A connection for one-way messages. While it is used, it is probed for an answer, because a
 * connection that lost its path looks the same to the sender as one that works.
 */
final class MessageConnection implements AutoCloseable {
    /** Age of the last answer after which the next message is sent with a probe. */
    private static final long PROBE_INTERVAL_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Receives the results of probes, on any thread. */
    interface Listener {
        /** Called after an answer. */
        void onAnswer();

        /**
         * Called once, when the connection is closed because no answer came in time or a message
         * could not be written in time.
         *
         * @param limitMillis the time limit in milliseconds
         */
        void onSilent(long limitMillis);
    }

    private final PeerSocket mSocket;
    private final Peer.Client mClient;

    /** Reads the answers; a protocol object must not be shared by the thread that writes. */
    private final TProtocol mAnswers;

    private final Executor mAnswerExecutor;
    private final ProbeTimeout mTimeout;
    private final Listener mListener;
    private volatile boolean mProbing;

    /** Time of the last answer; a new connection is probed with its first message. */
    private volatile long mAnsweredNanos = System.nanoTime() - PROBE_INTERVAL_NANOS;

    MessageConnection(
            PeerSocket socket, Executor answerExecutor, ProbeTimeout timeout, Listener listener)
            throws TException {
        mSocket = socket;
        mClient = new Peer.Client(new TCompactProtocol(new TFramedTransport(socket.transport())));
        mAnswers = new TCompactProtocol(new TFramedTransport(socket.transport()));
        mAnswerExecutor = answerExecutor;
        mTimeout = timeout;
        mListener = listener;
    }

    /**
     * Writes messages. Called on one thread.
     *
     * @param envelopes the messages
     * @throws TException if the connection is closed
     */
    void send(List<Envelope> envelopes) throws TException {
        mSocket.beginUse();
        try {
            if (!mProbing && System.nanoTime() - mAnsweredNanos >= PROBE_INTERVAL_NANOS) {
                sendProbe();
            }
            mClient.deliver(envelopes);
        } catch (RuntimeException | Error e) {
            // Without a thread for the answer the connection would never be probed again.
            close();
            throw e;
        } finally {
            mSocket.endUse();
        }
    }

    private void sendProbe() throws TException {
        mProbing = true;
        long limitNanos = mTimeout.nanos();
        mSocket.transport().setTimeout((int) TimeUnit.NANOSECONDS.toMillis(limitNanos));
        // The wait begins first, because the write may block.
        mAnswerExecutor.execute(() -> awaitAnswer(limitNanos));
        mClient.send_ping();
    }

    /** Waits for the reply to the call; an error reply of a peer without it is an answer too. */
    private void awaitAnswer(long limitNanos) {
        long startNanos = System.nanoTime();
        try {
            mAnswers.readMessageBegin();
            TProtocolUtil.skip(mAnswers, TType.STRUCT);
            mAnswers.readMessageEnd();
        } catch (TException | RuntimeException e) {
            boolean isSilent = e.getCause() instanceof SocketTimeoutException;
            boolean wasClosed = mSocket.isClosed();
            close();
            if (isSilent && !wasClosed) {
                reportSilent(limitNanos);
            }
            return;
        }
        long nowNanos = System.nanoTime();
        mTimeout.onAnswer(nowNanos - startNanos);
        mAnsweredNanos = nowNanos;
        mProbing = false;
        mListener.onAnswer();
    }

    private void reportSilent(long limitNanos) {
        mTimeout.onMissed();
        mListener.onSilent(TimeUnit.NANOSECONDS.toMillis(limitNanos));
    }

    /** Closes the connection if a message cannot be written within the time limit. */
    void closeIfBlocked() {
        long limitNanos = mTimeout.nanos();
        if (!mSocket.isClosed() && mSocket.closeIfUsedFor(limitNanos)) {
            reportSilent(limitNanos);
        }
    }

    boolean isClosed() {
        return mSocket.isClosed();
    }

    @Override
    public void close() {
        mSocket.close();
    }
}
