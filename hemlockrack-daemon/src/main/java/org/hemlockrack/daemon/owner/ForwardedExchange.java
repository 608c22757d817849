package org.hemlockrack.daemon.owner;

import java.nio.ByteBuffer;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/**
 * Answers a request that another instance forwarded to this owner. Answer bytes of the backend
 * server are released, so that it may send more, only as they are written to the connection.
 */
public final class ForwardedExchange implements AnswerListener {
    private final Responder mResponder;
    private volatile @Nullable RunningAttempt mAttempt;
    private volatile boolean mHeadSent;
    private int mUnreleasedBytes;

    private ForwardedExchange(Responder responder) {
        mResponder = responder;
    }

    static ForwardedExchange create(Responder responder) {
        return new ForwardedExchange(responder);
    }

    /**
     * Runs a forwarded request.
     *
     * @param owner owner service of this instance
     * @param call the request with its forwarding metadata
     * @param responder receives the answer
     */
    public static void run(OwnerService owner, HttpCall call, Responder responder) {
        ForwardedExchange exchange = create(responder);
        ForwardingMetadata metadata;
        try {
            metadata = ForwardingMetadata.parse(call);
        } catch (HemlockrackException e) {
            exchange.refuse(e.kind(), e.getMessage(), 0);
            return;
        }
        exchange.attach(owner.run(metadata, call, exchange));
    }

    void attach(RunningAttempt attempt) {
        mAttempt = attempt;
        mResponder.onDrain(bytes -> releaseDrained());
        releaseDrained();
        mResponder.onCancel(attempt::cancel);
    }

    private void refuse(ErrorKind kind, String message, long retryAfterMillis) {
        String json =
                Responder.errorJson(kind, kind.runState(), message, retryAfterMillis).toString();
        mResponder.sendJson(
                kind.httpStatus(),
                json,
                HeaderField.of(ForwardingMetadata.REFUSED, kind.name()),
                HeaderField.of(
                        ForwardingMetadata.RETRY_AFTER_MILLIS, Long.toString(retryAfterMillis)));
    }

    @Override
    public void onRefused(ErrorKind kind, long retryAfterMillis) {
        refuse(kind, "the owner refused the request", retryAfterMillis);
    }

    @Override
    public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
        mHeadSent = true;
        mResponder.sendHead(status, headers, lengthBytes);
    }

    @Override
    public void onBody(ByteBuffer data) {
        int bytes = data.remaining();
        mResponder.write(data);
        data.position(data.limit());
        addUnreleased(bytes);
        releaseDrained();
    }

    private synchronized void addUnreleased(int bytes) {
        mUnreleasedBytes += bytes;
    }

    private void releaseDrained() {
        RunningAttempt attempt = mAttempt;
        if (attempt == null) {
            return;
        }
        int drainedBytes;
        synchronized (this) {
            // Only written bytes are released, so queued bytes never exceed the window.
            drainedBytes = Math.max(0, mUnreleasedBytes - mResponder.queuedBytes());
            mUnreleasedBytes -= drainedBytes;
        }
        if (drainedBytes > 0) {
            attempt.release(drainedBytes);
        }
    }

    @Override
    public void onEnd() {
        mResponder.end();
    }

    @Override
    public void onFailed(ErrorKind kind, String message, boolean mayHaveRun) {
        if (mHeadSent) {
            // Close the connection, so that the forwarding instance detects a truncated answer.
            mResponder.abort();
            return;
        }
        if (!mayHaveRun) {
            refuse(ErrorKind.NOT_READY, message, 0);
            return;
        }
        String json = Responder.errorJson(kind, kind.runState(), message, 0).toString();
        mResponder.sendJson(
                kind.httpStatus(), json, HeaderField.of(ForwardingMetadata.FAILED, kind.name()));
    }
}
