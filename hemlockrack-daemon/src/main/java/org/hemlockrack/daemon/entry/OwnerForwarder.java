package org.hemlockrack.daemon.entry;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.daemon.owner.AnswerListener;
import org.hemlockrack.daemon.owner.ForwardingMetadata;
import org.hemlockrack.daemon.owner.RunningAttempt;
import org.hemlockrack.errors.ErrorKind;

/** Forwards a request to the instance that owns the backend server and translates its answer. */
final class OwnerForwarder implements UpstreamListener {
    private final AnswerListener mListener;
    private boolean mEnded;

    private OwnerForwarder(AnswerListener listener) {
        mListener = listener;
    }

    static RunningAttempt forward(
            HttpClient client,
            String address,
            ForwardingMetadata metadata,
            HttpCall call,
            AnswerListener listener) {
        List<HeaderField> headers = new ArrayList<>(call.headers());
        headers.addAll(metadata.toHeaders());
        UpstreamCall upstream =
                client.send(
                        address,
                        call.method(),
                        call.target(),
                        headers,
                        call.body(),
                        new OwnerForwarder(listener));
        return new UpstreamAttempt(upstream);
    }

    private record UpstreamAttempt(UpstreamCall upstream) implements RunningAttempt {
        @Override
        public void release(int bytes) {
            upstream.releaseWindow(bytes);
        }

        @Override
        public void cancel() {
            upstream.cancel();
        }
    }

    @Override
    public boolean beforeSend() {
        return true;
    }

    @Override
    public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
        String refused = HeaderField.firstValue(headers, ForwardingMetadata.REFUSED);
        String failed = HeaderField.firstValue(headers, ForwardingMetadata.FAILED);
        if (failed != null) {
            mEnded = true;
            String message = "the backend server broke the connection to its owner";
            mListener.onFailed(ErrorKind.valueOf(failed), message, true);
            return;
        }
        if (refused == null) {
            mListener.onHead(status, headers, lengthBytes);
            return;
        }
        mEnded = true;
        String retryAfter = HeaderField.firstValue(headers, ForwardingMetadata.RETRY_AFTER_MILLIS);
        long retryAfterMillis = retryAfter == null ? 0 : Long.parseLong(retryAfter);
        mListener.onRefused(ErrorKind.valueOf(refused), retryAfterMillis);
    }

    @Override
    public void onBody(ByteBuffer data) {
        if (mEnded) {
            data.position(data.limit());
            return;
        }
        mListener.onBody(data);
    }

    @Override
    public void onEnd() {
        if (!mEnded) {
            mListener.onEnd();
        }
    }

    @Override
    public void onFailed(Exception cause, boolean mayHaveBeenSent) {
        if (mEnded) {
            return;
        }
        String reason = "forwarding to the owner failed: " + cause.getMessage();
        mListener.onOwnerLost(reason, mayHaveBeenSent);
    }
}
