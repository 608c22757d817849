package org.hemlockrack.daemon.gateway;

import java.io.ByteArrayOutputStream;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.Objects;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockrack.answers.EventStreamFramer;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.dispatch.AttemptOutcome;
import org.hemlockrack.dispatch.DelayKind;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.http.MalformedMessageException;
import org.hemlockrack.registry.Registration;
import org.jspecify.annotations.Nullable;

/** One attempt to have a request answered by one backend server. */
final class ForwardAttempt implements UpstreamListener {
    private static final int FIRST_SUCCESS = 200;
    private static final int FIRST_REDIRECT = 300;
    private static final int FIRST_SERVER_ERROR = 500;

    /**
     * Pauses at the start of a stream by which servers are compared. So few events fit into the
     * narrow window, so that a caller that takes the answer slowly does not count against a server.
     */
    private static final int COMPARED_PAUSES = 3;

    /**
     * Limit on the part of an answer that is kept before anything is sent to the caller. Answers
     * with a known length up to the limit are kept as a whole, so that another server can be tried
     * if the answer breaks off or is a failure.
     */
    static final int MAX_COLLECTED_BYTES = 64 << 10;

    /** Memory of a whole answer is reserved in steps of this size. */
    private static final int RESERVATION_BYTES = 16 << 10;

    /**
     * Time after which a choice may rest on an outdated view of the servers. Opening a connection
     * takes a quarter of it at most, so an older choice shows that this process was delayed.
     */
    private static final long MAX_CHOICE_AGE_MILLIS = 1_000;

    private final GatewayExchange mExchange;
    private final Registration mServer;
    private final ServerChoice mChoice;
    private final long mStartNanos;
    private final AtomicBoolean mCountsAsRunning = new AtomicBoolean();
    private final boolean mFollowsLostAttempt;

    /** The monotonic clock stands still while a machine is suspended, the time of day does not. */
    private final long mStartWallMillis = System.currentTimeMillis();

    private final ByteArrayOutputStream mCollectedBody = new ByteArrayOutputStream();

    private volatile @Nullable UpstreamCall mUpstream;
    private volatile boolean mCancelled;
    private volatile boolean mSent;
    private volatile boolean mDetached;
    private volatile boolean mStreaming;
    private boolean mSuccessStream;

    /** Whether the request is still to be counted; the rest of a resumed stream is not. */
    private boolean mStartsRun;

    /** Collected bytes that the server may have replaced before the caller has taken them. */
    private final AtomicInteger mReleasedEarlyBytes = new AtomicInteger();

    private volatile boolean mChoiceOutdated;
    private final @Nullable EventStreamFramer mEventFramer;
    private Mode mMode = Mode.AWAITING_HEAD;
    private int mStatus;
    private List<HeaderField> mHeaders = List.of();
    private long mFirstByteNanos;
    private long mFirstEventNanos;
    private int mFirstEvents;
    private boolean mPausesCompared;
    private final EventBoundaryDetector mEvents = EventBoundaryDetector.create();

    /** How the body of the answer is handled. */
    private enum Mode {
        AWAITING_HEAD,
        COLLECTING,

        /** The answer is kept whatever its size, as the caller may only get a whole one. */
        COMPLETING,
        STREAMING,
        REFUSED,
        MISDIRECTED,
        ENDED
    }

    /**
     * Creates an attempt.
     *
     * @param exchange the exchange it belongs to
     * @param choice the choice of a server, with its reason
     * @param startNanos monotonic time of the start
     * @param eventFramer tracks which events of the stream were forwarded, or null if the stream
     *     cannot be resumed
     * @param followsLostAttempt whether an earlier attempt may have run and its answer was lost;
     *     the pooled connections to other servers may have fallen silent or broken with its own
     */
    ForwardAttempt(
            GatewayExchange exchange,
            ServerChoice choice,
            long startNanos,
            @Nullable EventStreamFramer eventFramer,
            boolean followsLostAttempt) {
        mFollowsLostAttempt = followsLostAttempt;
        mEventFramer = eventFramer;
        mExchange = exchange;
        mServer = Objects.requireNonNull(choice.server());
        mChoice = choice;
        mStartNanos = startNanos;
    }

    /** Records that the attempt counts as running for its workspace. */
    void countAsRunning() {
        mCountsAsRunning.set(true);
    }

    /** Returns whether the attempt counted as running until now; it no longer does. */
    boolean stopCounting() {
        return mCountsAsRunning.getAndSet(false);
    }

    long startNanos() {
        return mStartNanos;
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
                context.protocol()
                        .forwardHeaders(
                                call,
                                mServer,
                                mExchange.workspace(),
                                mExchange.rank(),
                                Math.max(1, mExchange.remainingMillis()),
                                mEventFramer == null ? null : mEventFramer.lastEventId());
        boolean usesPool = mExchange.route().allowsRerun() && !mFollowsLostAttempt;
        HttpClient client = usesPool ? context.client() : context.singleUseClient();
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

    /** Lets the server complete the request although the caller has left. */
    void detach() {
        mDetached = true;
    }

    @Override
    public boolean beforeSend() {
        mChoiceOutdated =
                isChoiceOutdated()
                        || !mExchange.context().state().accepts(System.nanoTime(), mServer);
        mSent = !mCancelled && !mChoiceOutdated && mExchange.onSending(this);
        return mSent;
    }

    private boolean isChoiceOutdated() {
        long ageMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - mStartNanos);
        long wallAgeMillis = System.currentTimeMillis() - mStartWallMillis;
        return Math.max(ageMillis, wallAgeMillis) > MAX_CHOICE_AGE_MILLIS;
    }

    /** Counts the request as one that a server began to run. */
    private void countRun() {
        if (mStartsRun) {
            mStartsRun = false;
            mExchange.context().dutyReports().recordBegun(System.nanoTime(), mExchange.workspace());
        }
    }

    /** Returns whether the server has sent a whole event of the answer. */
    boolean hasBegun() {
        return mEvents.hasEvent();
    }

    /** Returns whether the answer is passed on to the caller as it arrives. */
    boolean isStreaming() {
        return mStreaming;
    }

    /** Returns the size of the answer's body that the server has sent. */
    long bodyBytes() {
        return mEvents.bytes();
    }

    /** Returns whether bytes of the request may have been sent. */
    boolean isSent() {
        return mSent;
    }

    @Override
    public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
        mFirstByteNanos = System.nanoTime();
        mExchange.recordProgress(this);
        mStatus = status;
        mHeaders = headers;
        AnswerMetadata metadata = mExchange.context().protocol().readAnswerHead(status, headers);
        if (!isForThisRequest(metadata)) {
            failPossiblyRun(AttemptOutcome.BROKEN, "the answer belongs to another request");
            return;
        }
        if (!metadata.misdirected()) {
            mExchange.context().recordStatement(mServer, metadata);
            mExchange.log().loadReported(this, metadata.load());
        }
        if (metadata.attemptId() == null && mExchange.route().allowsRerun()) {
            // On a kept connection it may answer an earlier request.
            failPossiblyRun(AttemptOutcome.MISDIRECTED, "another server may use the address");
            return;
        }
        if (metadata.misdirected() || metadata.refused()) {
            mMode = metadata.misdirected() ? Mode.MISDIRECTED : Mode.REFUSED;
            return;
        }
        boolean success = status >= FIRST_SUCCESS && status < FIRST_REDIRECT;
        if (success && !metadata.signed()) {
            failPossiblyRun(AttemptOutcome.BROKEN, "the answer is not signed");
            return;
        }
        mStartsRun = metadata.signed() && !isResuming();
        if (!mExchange.route().isStreaming()) {
            countRun();
        }
        if (isResuming()) {
            resumeStream(success);
            return;
        }
        if (isCollectable(success, lengthBytes)) {
            mMode = Mode.COLLECTING;
            return;
        }
        if (isFailure()) {
            failOversized();
            return;
        }
        if (mExchange.requiresWholeAnswer()) {
            mMode = Mode.COMPLETING;
            mSuccessStream = success;
            return;
        }
        beginStreaming(success, lengthBytes);
    }

    /**
     * Returns whether the answer is kept until it is complete, and reserves the memory for it. A
     * success without a length is a stream. Any other answer without a length is kept up to the
     * limit, because it is usually short.
     */
    private boolean isCollectable(boolean success, long lengthBytes) {
        if (lengthBytes > MAX_COLLECTED_BYTES || lengthBytes < 0 && success) {
            return false;
        }
        long keptBytes = lengthBytes < 0 ? MAX_COLLECTED_BYTES : lengthBytes;
        return mExchange.answerMemory().tryReserve(keptBytes);
    }

    private boolean isFailure() {
        return mStatus >= FIRST_SERVER_ERROR;
    }

    /** Passes the answer on as it arrives. */
    private void beginStreaming(boolean success, long lengthBytes) {
        if (!mExchange.tryBeginAnswer(this, success)) {
            cancel();
            if (mDetached) {
                mExchange.recordOutcome(this, AttemptOutcome.ABANDONED);
            }
            return;
        }
        mMode = Mode.STREAMING;
        mStreaming = true;
        mSuccessStream = success;
        widenWindow();
        Responder responder = mExchange.responder();
        responder.onDrain(this::onDrained);
        responder.sendHead(mStatus, mHeaders, lengthBytes);
    }

    /**
     * Lets the server send more ahead of the caller, if there is memory for it. The narrow window
     * that each call starts with suffices for a stream of events.
     */
    private void widenWindow() {
        int moreBytes = UpstreamCall.WINDOW_BYTES - UpstreamCall.NARROW_WINDOW_BYTES;
        if (mExchange.answerMemory().tryReserve(mCollectedBody.size() + moreBytes)) {
            releaseBytes(moreBytes);
        }
    }

    /**
     * Ends the attempt because the body of a failure has no end, or there is no memory for it. The
     * server may have run the request.
     */
    private void failOversized() {
        countAnswer(false);
        failPossiblyRun(
                AttemptOutcome.FAILED,
                String.format(
                        "status %d with a body that exceeds %d bytes or the memory left",
                        mStatus, MAX_COLLECTED_BYTES));
    }

    /**
     * Returns whether the answer carries the id of this request. An answer without an id is
     * accepted only if it is misdirected, because a server other than the intended one may not echo
     * ids.
     */
    private boolean isForThisRequest(AnswerMetadata metadata) {
        String answeredId = metadata.attemptId();
        return answeredId == null
                ? metadata.misdirected()
                : answeredId.equals(mExchange.metadata().attemptId());
    }

    private boolean isResuming() {
        return mEventFramer != null && mExchange.isHeadSent();
    }

    /** Continues a stream whose head was already sent to the caller; only events are forwarded. */
    private void resumeStream(boolean success) {
        if (!success) {
            failPossiblyRun(
                    AttemptOutcome.FAILED, "the stream cannot be resumed: status " + mStatus);
            return;
        }
        mMode = Mode.STREAMING;
        mStreaming = true;
        mSuccessStream = true;
        widenWindow();
        mExchange.responder().onDrain(this::onDrained);
    }

    private void releaseBytes(int bytes) {
        UpstreamCall upstream = mUpstream;
        if (upstream != null) {
            upstream.releaseWindow(bytes);
        }
    }

    /** Ends the attempt with a failure after which the request may have run. */
    private void failPossiblyRun(AttemptOutcome outcome, String cause) {
        mMode = Mode.ENDED;
        cancel();
        mExchange.onMayHaveRun(this, outcome, cause);
    }

    @Override
    public void onBody(ByteBuffer data) {
        int bytes = data.remaining();
        boolean begun = hasBegun();
        mEvents.feed(data.duplicate());
        if (!begun && hasBegun()) {
            countRun();
        }
        boolean passesOn = mMode == Mode.STREAMING || mMode == Mode.COMPLETING;
        if (!begun && hasBegun() && passesOn) {
            mExchange.crashEvidence().recordAnswer(System.nanoTime());
        }
        if (passesOn && mSuccessStream) {
            compareEvents(begun);
        }
        switch (mMode) {
            case STREAMING -> mExchange.forwardBody(this, data);
            case COLLECTING -> collect(data);
            case COMPLETING -> complete(data);
            default -> {
                data.position(data.limit());
                releaseBytes(bytes);
                endIfOversized();
            }
        }
    }

    /** Records the time to the first event of a stream, and the pauses after it. */
    private void compareEvents(boolean begun) {
        if (!hasBegun() || mPausesCompared) {
            return;
        }
        long nowNanos = System.nanoTime();
        if (!begun) {
            mFirstEventNanos = nowNanos;
            mFirstEvents = mEvents.events();
            recordFirstPiece(nowNanos, nowNanos - mStartNanos);
            return;
        }
        int pauses = mEvents.events() - mFirstEvents;
        if (pauses >= COMPARED_PAUSES) {
            mPausesCompared = true;
            recordDelay(nowNanos, DelayKind.PAUSE, (nowNanos - mFirstEventNanos) / pauses);
        }
    }

    private void recordFirstPiece(long nowNanos, long nanos) {
        boolean cached = mChoice.reason() == ServerChoice.Reason.CACHED;
        recordDelay(nowNanos, cached ? DelayKind.FIRST_PIECE_CACHED : DelayKind.FIRST_PIECE, nanos);
    }

    private void recordDelay(long nowNanos, DelayKind kind, long nanos) {
        mExchange.context().state().recordDelay(nowNanos, mServer, mExchange.route(), kind, nanos);
    }

    private void collect(ByteBuffer data) {
        int bytes = data.remaining();
        if (mEvents.bytes() <= MAX_COLLECTED_BYTES) {
            byte[] chunk = new byte[bytes];
            data.get(chunk);
            // After the caller has left, nobody needs the answer.
            if (!mDetached) {
                mCollectedBody.writeBytes(chunk);
            }
            releaseBytes(bytes);
            return;
        }
        if (isFailure()) {
            failOversized();
            return;
        }
        if (mExchange.requiresWholeAnswer()) {
            mMode = Mode.COMPLETING;
            complete(data);
            return;
        }
        // The window was released for these bytes already.
        mReleasedEarlyBytes.set(mCollectedBody.size());
        beginStreaming(false, Responder.UNKNOWN_LENGTH);
        if (mMode == Mode.STREAMING) {
            byte[] collected = mCollectedBody.toByteArray();
            mCollectedBody.reset();
            mExchange.forwardBody(this, ByteBuffer.wrap(collected));
            mExchange.forwardBody(this, data);
        }
    }

    /** Keeps a part of an answer that the caller may only get as a whole. */
    private void complete(ByteBuffer data) {
        int bytes = data.remaining();
        if (mDetached) {
            data.position(data.limit());
            releaseBytes(bytes);
            return;
        }
        long keptBytes = mCollectedBody.size() + (long) bytes;
        long steps = (keptBytes + RESERVATION_BYTES - 1) / RESERVATION_BYTES;
        if (!mExchange.answerMemory().tryReserve(steps * RESERVATION_BYTES)) {
            failPossiblyRun(AttemptOutcome.ABANDONED, "no memory is left for a whole answer");
            return;
        }
        mExchange.recordProgress(this);
        byte[] chunk = new byte[bytes];
        data.get(chunk);
        mCollectedBody.writeBytes(chunk);
        releaseBytes(bytes);
    }

    /** Lets the server send as much as the caller has taken. */
    private void onDrained(int bytes) {
        int earlyBytes = Math.min(bytes, mReleasedEarlyBytes.get());
        mReleasedEarlyBytes.addAndGet(-earlyBytes);
        if (bytes > earlyBytes) {
            releaseBytes(bytes - earlyBytes);
        }
    }

    /** Ends the attempt if the server says that it has not run the request, and goes on sending. */
    private void endIfOversized() {
        boolean notRun = mMode == Mode.REFUSED || mMode == Mode.MISDIRECTED;
        if (notRun && mEvents.bytes() > MAX_COLLECTED_BYTES) {
            cancel();
            onEnd();
        }
    }

    @Override
    public void onEnd() {
        Mode mode = mMode;
        mMode = Mode.ENDED;
        switch (mode) {
            case STREAMING -> {
                if (cutInsideEvent()) {
                    return;
                }
                if (mExchange.completeStream(this)) {
                    countAnswer(true);
                    mExchange.onDelivered(this, mStatus, AttemptOutcome.SERVED);
                }
            }
            case COLLECTING -> finishCollected();
            case COMPLETING -> {
                if (!cutInsideEvent()) {
                    countAnswer(true);
                    deliverCollected(false);
                }
            }
            case REFUSED ->
                    mExchange.onNotRun(
                            this, AttemptOutcome.REJECTED, "refused with status " + mStatus);
            case MISDIRECTED ->
                    mExchange.onNotRun(
                            this, AttemptOutcome.MISDIRECTED, "another server uses the address");
            default -> {}
        }
    }

    /** Ends the attempt if its stream of events ended inside one; returns whether it did. */
    private boolean cutInsideEvent() {
        boolean hasEvents = mSuccessStream && mExchange.route().isStreaming();
        boolean cut = hasEvents && mEvents.isInsideEvent();
        if (cut) {
            countAnswer(false);
            mExchange.onCut(this, "the stream ended inside an event");
        }
        return cut;
    }

    private void finishCollected() {
        boolean failure = isFailure();
        countAnswer(!failure);
        if (!failure) {
            recordFirstPiece(System.nanoTime(), firstByteNanos());
            mExchange.crashEvidence().recordAnswer(System.nanoTime());
        }
        boolean canRetry = mExchange.route().allowsRerun() && mExchange.canCompleteBeforeStop();
        if (failure && canRetry) {
            mExchange.acquireRetry(this::retryOrDeliver);
            return;
        }
        deliverCollected(failure);
    }

    private void retryOrDeliver(boolean retryGranted) {
        if (retryGranted) {
            mExchange.onServerError(this, "status " + mStatus);
            return;
        }
        deliverCollected(true);
    }

    private void deliverCollected(boolean failure) {
        if (!mExchange.tryEnd(this)) {
            if (mDetached) {
                mExchange.recordOutcome(this, AttemptOutcome.ABANDONED);
            }
            return;
        }
        mExchange.responder().send(mStatus, mHeaders, mCollectedBody.toByteArray());
        mExchange.onDelivered(
                this, mStatus, failure ? AttemptOutcome.FAILED : AttemptOutcome.SERVED);
    }

    private void countAnswer(boolean success) {
        GatewayState state = mExchange.context().state();
        long micros = TimeUnit.NANOSECONDS.toMicros(firstByteNanos());
        state.countAnswer(mExchange.service(), mServer.softwareVersion(), success, micros);
        if (success) {
            state.recordFirstByte(mExchange.route(), micros);
        }
    }

    @Override
    public void onFailed(Exception cause, boolean mayHaveBeenSent) {
        Mode mode = mMode;
        mMode = Mode.ENDED;
        String message = String.valueOf(cause.getMessage());
        if (mode == Mode.ENDED || mCancelled) {
            return;
        }
        if (mode == Mode.STREAMING) {
            countAnswer(false);
            mExchange.onCut(this, message);
            return;
        }
        if (!mayHaveBeenSent) {
            if (cause instanceof ConnectException) {
                mExchange.crashEvidence().recordRefusedConnection(System.nanoTime(), mServer);
            }
            mExchange.onNotRun(
                    this,
                    mChoiceOutdated ? AttemptOutcome.ABANDONED : AttemptOutcome.UNREACHABLE,
                    mChoiceOutdated ? "the choice is outdated" : message);
            return;
        }
        boolean refused = mode == Mode.REFUSED || mode == Mode.MISDIRECTED;
        // A malformed answer may have been damaged in its head, too.
        if (refused && !(cause instanceof MalformedMessageException)) {
            mExchange.onNotRun(this, AttemptOutcome.REJECTED, message);
            return;
        }
        countAnswer(false);
        mExchange.onCut(this, message);
    }
}
