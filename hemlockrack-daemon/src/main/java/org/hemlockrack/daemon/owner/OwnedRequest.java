package org.hemlockrack.daemon.owner;

import java.io.IOException;
import java.net.SocketTimeoutException;
import java.nio.ByteBuffer;
import java.util.List;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.RequestOutcome;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.errors.ErrorKind;
import org.jspecify.annotations.Nullable;

/**
 * One request at the owner, from its arrival to the end of the backend server's answer. It passes
 * the events of the upstream connection to the listener and reports the outcome to admission.
 */
final class OwnedRequest implements RunningAttempt, UpstreamListener {
    private static final int FIRST_SERVER_ERROR_STATUS = 500;
    private static final int MISDIRECTED_STATUS = 421;
    private static final long NO_FIRST_BYTE = -1;

    private final ForwardingMetadata mMetadata;
    private final HttpCall mCall;
    private final AnswerListener mListener;
    private final OwnedBackend mBackend;

    private volatile @Nullable UpstreamCall mUpstream;
    private volatile boolean mCancelled;
    private volatile long mValidUntilNanos;
    private volatile long mDispatchedNanos;
    private volatile long mFirstByteNanos = NO_FIRST_BYTE;
    private volatile int mStatus;
    private int mReleasedBytes;
    private boolean mEnded;

    OwnedRequest(
            ForwardingMetadata metadata,
            HttpCall call,
            AnswerListener listener,
            OwnedBackend backend) {
        mMetadata = metadata;
        mCall = call;
        mListener = listener;
        mBackend = backend;
    }

    ForwardingMetadata metadata() {
        return mMetadata;
    }

    HttpCall call() {
        return mCall;
    }

    /**
     * Sends the request; called on the loop.
     *
     * @param validUntilNanos monotonic time after which the request must not be sent any more
     */
    void dispatch(long validUntilNanos) {
        mValidUntilNanos = validUntilNanos;
        mDispatchedNanos = System.nanoTime();
        UpstreamCall upstream = mBackend.sendToBackend(this);
        int releasedBytes;
        synchronized (this) {
            mUpstream = upstream;
            releasedBytes = mReleasedBytes;
        }
        if (releasedBytes > 0) {
            upstream.releaseWindow(releasedBytes);
        }
        if (mCancelled) {
            upstream.cancel();
            finish(RequestOutcome.CANCELLED);
        }
    }

    /** Refuses the request unless it has ended; called on the loop. */
    void refuse(ErrorKind kind, long retryAfterNanos) {
        if (markEnded()) {
            mListener.onRefused(kind, retryAfterNanos / 1_000_000);
        }
    }

    private synchronized boolean markEnded() {
        boolean first = !mEnded;
        mEnded = true;
        return first;
    }

    private void finish(RequestOutcome outcome) {
        if (!markEnded()) {
            return;
        }
        long firstByteNanos = mFirstByteNanos;
        long ttftNanos =
                firstByteNanos == NO_FIRST_BYTE ? NO_FIRST_BYTE : firstByteNanos - mDispatchedNanos;
        mBackend.onFinished(mMetadata.requestId(), outcome, ttftNanos);
    }

    @Override
    public void release(int bytes) {
        UpstreamCall upstream;
        synchronized (this) {
            upstream = mUpstream;
            if (upstream == null) {
                mReleasedBytes += bytes;
                return;
            }
        }
        upstream.releaseWindow(bytes);
    }

    @Override
    public void cancel() {
        mCancelled = true;
        mBackend.cancelRequest(this);
    }

    /** Ends a cancelled request, whether it is queued or dispatched; called on the loop. */
    void endCancelled() {
        UpstreamCall upstream = mUpstream;
        if (upstream == null) {
            mBackend.post(new AdmissionEvent.Cancelled(mMetadata.requestId()));
            return;
        }
        upstream.cancel();
        finish(RequestOutcome.CANCELLED);
    }

    @Override
    public boolean beforeSend() {
        return !mCancelled && System.nanoTime() - mValidUntilNanos < 0;
    }

    @Override
    public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
        if (status == MISDIRECTED_STATUS) {
            onMisdirected();
            return;
        }
        mStatus = status;
        if (lengthBytes == 0) {
            recordFirstByte();
        }
        mListener.onHead(status, headers, lengthBytes);
    }

    /**
     * Handles a 421: the lease had ended when the request arrived, so the server did not run it.
     */
    private void onMisdirected() {
        mCancelled = true;
        finish(RequestOutcome.CANCELLED);
        mListener.onRefused(ErrorKind.NOT_OWNER, 0);
    }

    @Override
    public void onBody(ByteBuffer data) {
        if (mCancelled) {
            data.position(data.limit());
            return;
        }
        recordFirstByte();
        mListener.onBody(data);
    }

    private void recordFirstByte() {
        if (mFirstByteNanos != NO_FIRST_BYTE) {
            return;
        }
        mFirstByteNanos = System.nanoTime();
        mBackend.onFirstByte(mMetadata.requestId(), mFirstByteNanos - mDispatchedNanos);
    }

    @Override
    public void onEnd() {
        if (mCancelled) {
            finish(RequestOutcome.CANCELLED);
            return;
        }
        finish(mStatus >= FIRST_SERVER_ERROR_STATUS ? RequestOutcome.ERROR : RequestOutcome.OK);
        mListener.onEnd();
    }

    @Override
    public void onFailed(Exception cause, boolean mayHaveBeenSent) {
        if (mCancelled) {
            finish(RequestOutcome.CANCELLED);
            return;
        }
        boolean timedOut = cause instanceof SocketTimeoutException;
        finish(timedOut ? RequestOutcome.TIMEOUT : RequestOutcome.ERROR);
        ErrorKind kind = timedOut ? ErrorKind.BACKEND_TIMEOUT : ErrorKind.BACKEND_FAILED;
        String reason = cause instanceof IOException ? cause.getMessage() : cause.toString();
        mListener.onFailed(kind, String.valueOf(reason), mayHaveBeenSent);
    }
}
