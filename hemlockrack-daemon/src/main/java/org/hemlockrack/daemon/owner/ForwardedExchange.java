package org.hemlockrack.daemon.owner;

import java.nio.ByteBuffer;
import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Answers a request that another instance forwarded to this owner. */
public final class ForwardedExchange implements AnswerListener {
    private final Responder mResponder;
    private volatile @Nullable RunningAttempt mAttempt;
    private volatile boolean mHeadSent;
    private int mHeldBytes;

    private ForwardedExchange(Responder responder) {
        mResponder = responder;
    }

    static ForwardedExchange create(Responder responder) {
        return new ForwardedExchange(responder);
    }

    /**
     * Runs a forwarded request.
     *
     * @param owner the owner
     * @param call the request with its forwarding fields
     * @param responder takes the answer
     */
    public static void run(OwnerService owner, HttpCall call, Responder responder) {
        ForwardedExchange exchange = create(responder);
        ForwardingMetadata order;
        try {
            order = ForwardingMetadata.parse(call);
        } catch (HemlockrackException e) {
            exchange.refuse(e.kind(), e.getMessage(), 0);
            return;
        }
        exchange.follow(owner.run(order, call, exchange));
    }

    void follow(RunningAttempt attempt) {
        mAttempt = attempt;
        mResponder.onDrain(bytes -> drained());
        drained();
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
        mResponder.head(status, headers, lengthBytes);
    }

    @Override
    public void onBody(ByteBuffer data) {
        int bytes = data.remaining();
        mResponder.write(data);
        data.position(data.limit());
        hold(bytes);
        drained();
    }

    private synchronized void hold(int bytes) {
        mHeldBytes += bytes;
    }

    private void drained() {
        RunningAttempt attempt = mAttempt;
        if (attempt == null) {
            return;
        }
        int bytes;
        synchronized (this) {
            // Unreleased and queued bytes together never exceed the window.
            bytes = Math.max(0, mHeldBytes - mResponder.queuedBytes());
            mHeldBytes -= bytes;
        }
        if (bytes > 0) {
            attempt.release(bytes);
        }
    }

    @Override
    public void onEnd() {
        mResponder.end();
    }

    @Override
    public void onFailed(ErrorKind kind, String message, boolean mayHaveRun) {
        if (mHeadSent) {
            // The entry instance must see that the answer is cut.
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
