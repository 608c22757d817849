package org.hemlockrack.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.answers.EventStreamFramer;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.registry.Registration;
import org.jspecify.annotations.Nullable;

/** One attempt of an exchange at one backend server. */
final class ForwardAttempt implements UpstreamListener {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /** Whole answers up to this length are collected, so that a broken one can be replaced. */
    private static final long MAX_COLLECTED_BYTES = 64 << 10;

    private final GatewayExchange mExchange;
    private final Registration mServer;
    private final ServerChoice mChoice;
    private final long mStartNanos;
    private final ByteArrayOutputStream mCollected = new ByteArrayOutputStream();

    private volatile @Nullable UpstreamCall mUpstream;
    private volatile boolean mCancelled;
    private volatile boolean mSent;
    private final @Nullable EventStreamFramer mEvents;
    private Mode mMode = Mode.WAITING;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private long mFirstByteNanos;

    /** What happens with the body of the answer. */
    private enum Mode {
        WAITING,
        COLLECT,
        STREAM,
        REFUSED,
        MISDIRECTED,
        ENDED
    }

    /**
     * Creates an attempt.
     *
     * @param exchange the exchange it belongs to
     * @param server the server
     * @param choice why this server
     * @param startNanos monotonic time
     * @param events what was passed on of the stream so far, or null if it cannot be resumed
     */
    ForwardAttempt(
            GatewayExchange exchange,
            Registration server,
            ServerChoice choice,
            long startNanos,
            @Nullable EventStreamFramer events) {
        mEvents = events;
        mExchange = exchange;
        mServer = server;
        mChoice = choice;
        mStartNanos = startNanos;
    }

    Registration server() {
        return mServer;
    }

    ServerChoice choice() {
        return mChoice;
    }

    long firstByteMillis() {
        return TimeUnit.NANOSECONDS.toMillis(firstByteNanos());
    }

    long firstByteNanos() {
        return mFirstByteNanos == 0 ? 0 : mFirstByteNanos - mStartNanos;
    }

    void send() {
        HttpCall call = mExchange.call();
        GatewayContext context = mExchange.context();
        List<HeaderField> headers =
                context.dialect()
                        .forward(
                                call,
                                mServer,
                                mExchange.workspace(),
                                mExchange.rank(),
                                Math.max(1, mExchange.leftMillis()),
                                mEvents == null ? null : mEvents.lastEventId());
        HttpClient client =
                mExchange.route().allowsRerun() ? context.client() : context.singleUseClient();
        UpstreamCall upstream =
                client.send(
                        mServer.address(),
                        call.method(),
                        call.target(),
                        headers,
                        call.body(),
                        this);
        mUpstream = upstream;
        if (mCancelled) {
            upstream.cancel();
        }
    }

    void cancel() {
        mCancelled = true;
        UpstreamCall upstream = mUpstream;
        if (upstream != null) {
            upstream.cancel();
        }
    }

    @Override
    public boolean onSending() {
        mSent = !mCancelled && mExchange.onSending(this);
        return mSent;
    }

    /** Returns whether bytes of the request may have gone out. */
    boolean isSent() {
        return mSent;
    }

    @Override
    public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
        mFirstByteNanos = System.nanoTime();
        mExchange.progressed(this);
        mStatus = status;
        mHeaders = headers;
        ServerFacts facts = mExchange.context().dialect().readAnswer(status, headers);
        if (!answersThisRequest(facts)) {
            stop(AttemptOutcome.BROKEN, "the answer belongs to another request");
            return;
        }
        if (facts.misdirected() || facts.refused()) {
            mMode = facts.misdirected() ? Mode.MISDIRECTED : Mode.REFUSED;
            return;
        }
        boolean success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        if (success && !facts.signed()) {
            stop(AttemptOutcome.BROKEN, "the answer is not signed");
            return;
        }
        if (isResuming()) {
            resumed(success);
            return;
        }
        boolean whole = lengthBytes >= 0 && lengthBytes <= MAX_COLLECTED_BYTES;
        if (whole || !success) {
            mMode = Mode.COLLECT;
            return;
        }
        if (!mExchange.beginAnswer(this)) {
            cancel();
            return;
        }
        mMode = Mode.STREAM;
        Responder responder = mExchange.responder();
        responder.onDrain(this::release);
        responder.head(status, headers, lengthBytes);
    }

    /** Another server may not know how to name the request; any other answer must name it. */
    private boolean answersThisRequest(ServerFacts facts) {
        String answered = facts.attemptId();
        return answered == null
                ? facts.misdirected()
                : answered.equals(mExchange.caller().attemptId());
    }

    private boolean isResuming() {
        return mEvents != null && mExchange.isHeadSent();
    }

    /** The caller keeps the head of the first server; only events follow. */
    private void resumed(boolean success) {
        if (!success) {
            stop(AttemptOutcome.FAILED, "the stream cannot go on: status " + mStatus);
            return;
        }
        mMode = Mode.STREAM;
        mExchange.responder().onDrain(this::release);
    }

    private void release(int bytes) {
        UpstreamCall upstream = mUpstream;
        if (upstream != null) {
            upstream.release(bytes);
        }
    }

    /** Gives the attempt up after the request may have run. */
    private void stop(AttemptOutcome outcome, String cause) {
        mMode = Mode.ENDED;
        cancel();
        mExchange.mayHaveRun(this, outcome, cause);
    }

    @Override
    public void onBody(ByteBuffer data) {
        int bytes = data.remaining();
        switch (mMode) {
            case STREAM -> mExchange.passOn(this, data);
            case COLLECT -> {
                byte[] chunk = new byte[bytes];
                data.get(chunk);
                mCollected.writeBytes(chunk);
                release(bytes);
            }
            default -> {
                data.position(data.limit());
                release(bytes);
            }
        }
    }

    @Override
    public void onEnd() {
        Mode mode = mMode;
        mMode = Mode.ENDED;
        switch (mode) {
            case STREAM -> {
                if (mExchange.endStream(this)) {
                    count(true);
                    mExchange.delivered(this, mStatus, AttemptOutcome.SERVED);
                }
            }
            case COLLECT -> collected();
            case REFUSED ->
                    mExchange.notRun(
                            this, AttemptOutcome.REJECTED, "refused with status " + mStatus);
            case MISDIRECTED ->
                    mExchange.notRun(
                            this, AttemptOutcome.MISDIRECTED, "another server is at the address");
            default -> {}
        }
    }

    private void collected() {
        boolean failure = mStatus >= FIRST_SERVER_ERROR;
        count(!failure);
        if (failure && mExchange.route().allowsRerun() && mExchange.retryAllowed()) {
            mExchange.failedAnswer(this, "status " + mStatus);
            return;
        }
        if (!mExchange.beginAnswer(this)) {
            return;
        }
        mExchange.responder().send(mStatus, mHeaders, mCollected.toByteArray());
        mExchange.delivered(this, mStatus, failure ? AttemptOutcome.FAILED : AttemptOutcome.SERVED);
    }

    private void count(boolean success) {
        SharedPool pool = mExchange.context().pool();
        long micros = TimeUnit.NANOSECONDS.toMicros(firstByteNanos());
        pool.answered(mExchange.service(), mServer.softwareVersion(), success, micros);
        if (success) {
            pool.firstByte(mExchange.route(), micros);
        }
    }

    @Override
    public void onFailed(Exception cause, boolean mayHaveBeenSent) {
        Mode mode = mMode;
        mMode = Mode.ENDED;
        String text = String.valueOf(cause.getMessage());
        if (mode == Mode.ENDED || mCancelled) {
            return;
        }
        if (mode == Mode.STREAM) {
            count(false);
            mExchange.cut(this, AttemptOutcome.BROKEN, text);
            return;
        }
        if (!mayHaveBeenSent) {
            mExchange.notRun(this, AttemptOutcome.UNREACHABLE, text);
            return;
        }
        if (mode == Mode.REFUSED || mode == Mode.MISDIRECTED) {
            mExchange.notRun(this, AttemptOutcome.REJECTED, text);
            return;
        }
        count(false);
        mExchange.mayHaveRun(this, AttemptOutcome.BROKEN, text);
    }
}
