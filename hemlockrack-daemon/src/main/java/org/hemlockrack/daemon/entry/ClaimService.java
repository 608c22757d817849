package org.hemlockrack.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.claims.AbandonedAttempts;
import org.hemlockrack.claims.AttemptId;
import org.hemlockrack.claims.AttemptSource;
import org.hemlockrack.claims.BodyHash;
import org.hemlockrack.claims.ClaimCommand;
import org.hemlockrack.claims.ClaimKey;
import org.hemlockrack.claims.ClaimResult;
import org.hemlockrack.claims.ClaimSession;
import org.hemlockrack.claims.RecordedAnswer;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Member;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Claims idempotency keys in the replicated log. Confined to the loop except where stated. */
public final class ClaimService implements ClaimGate {
    private static final long PROPOSE_TIMEOUT_MILLIS = 3_000;
    private static final long HOLDER_TIMEOUT_MILLIS = 1_000;
    private static final long FINISH_TIMEOUT_MILLIS = 60_000;

    /**
     * Longest time for which an answer is held back from the caller until it is recorded. After it
     * the answer is sent although it may not be recorded.
     */
    private static final long MAX_RECORD_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final AttemptSource mAttemptSource;
    private final AbandonedAttempts mAbandoned;
    private final DeciderRunner<AbandonedAttempts.Event, AbandonedAttempts.Output> mReleaseRunner;
    private long mMaxRunMillis;
    private int mMaxAnswerBytes;

    private ClaimService(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Proposer proposer,
            AttemptSource source) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mProposer = proposer;
        mAttemptSource = source;
        mAbandoned = AbandonedAttempts.of(source);
        mReleaseRunner = DeciderRunner.create(loop, mAbandoned, this::proposeRelease);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param proposer appends commands to the replicated log
     * @param source attempts of this instance
     * @return the service
     */
    public static ClaimService create(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Proposer proposer,
            AttemptSource source) {
        return new ClaimService(loop, fleet, network, proposer, source);
    }

    /**
     * Sets the limits of the configuration in force.
     *
     * @param maxRunMillis longest time that a command may run
     * @param maxAnswerBytes largest answer that is recorded
     */
    public void configure(long maxRunMillis, int maxAnswerBytes) {
        mMaxRunMillis = maxRunMillis;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Returns whether an attempt was abandoned, for another instance that asks. Waits for the loop,
     * so it must not be called on the loop.
     *
     * @param attempt text form of an attempt of this instance
     * @return whether the attempt was abandoned before it was dispatched
     */
    public boolean isAbandoned(String attempt) {
        AttemptId id = AttemptId.parse(attempt);
        return mLoop.submit(() -> mAbandoned.isAbandoned(id)).join();
    }

    private void proposeRelease(AbandonedAttempts.Output output) {
        if (!(output instanceof AbandonedAttempts.ProposeRelease propose)) {
            return;
        }
        AttemptId attempt = propose.command().attempt();
        propose(propose.command(), PROPOSE_TIMEOUT_MILLIS)
                .thenAccept(
                        outcome ->
                                mLoop.execute(
                                        () -> {
                                            if (outcome.status() == ProposalStatus.APPLIED) {
                                                mReleaseRunner.handleEvent(
                                                        new AbandonedAttempts.ReleaseApplied(
                                                                attempt));
                                            }
                                            rearmReleaseTimer();
                                        }));
    }

    private CompletableFuture<ProposalOutcome> propose(ClaimCommand command, long timeoutMillis) {
        return mProposer.propose(
                StateMachineId.CLAIMS.encodeCommand(command.encode()), timeoutMillis);
    }

    /**
     * Reschedules the timer of releases, because a session adds abandoned attempts without an
     * event.
     */
    private void rearmReleaseTimer() {
        mReleaseRunner.rearmTimer();
    }

    @Override
    public void claim(CallerRequest request, Callback callback) {
        ClaimKey key;
        try {
            key = new ClaimKey(request.workspace(), String.valueOf(request.idempotencyKey()));
        } catch (HemlockrackException e) {
            callback.onRefused(e.kind(), e.kind().runState(), String.valueOf(e.getMessage()));
            return;
        }
        BodyHash hash =
                BodyHash.of(
                        request.call().method(),
                        request.service() + request.call().target(),
                        request.call().body());
        ClaimSession.Timeouts timeouts =
                new ClaimSession.Timeouts(
                        TimeUnit.MILLISECONDS.toNanos(
                                PROPOSE_TIMEOUT_MILLIS + HOLDER_TIMEOUT_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(HOLDER_TIMEOUT_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(mMaxRunMillis),
                        TimeUnit.MILLISECONDS.toNanos(FINISH_TIMEOUT_MILLIS));
        ClaimSession session =
                ClaimSession.of(key, hash, mAttemptSource, mAbandoned, timeouts, mMaxAnswerBytes);
        new ClaimRun(session, callback).start();
    }

    /** Executes the outputs of one claim session. */
    private final class ClaimRun implements Ticket {
        private final DeciderRunner<ClaimSession.Event, ClaimSession.Output> mRunner;
        private final Callback mCallback;
        private @Nullable Runnable mWhenRecorded;
        private boolean mDecided;

        ClaimRun(ClaimSession session, Callback callback) {
            mCallback = callback;
            mRunner = DeciderRunner.create(mLoop, session, this::applyOutput);
        }

        void start() {
            post(new ClaimSession.Started());
        }

        private void post(ClaimSession.Event event) {
            mRunner.handleEvent(event);
            rearmReleaseTimer();
        }

        private void applyOutput(ClaimSession.Output output) {
            if (output instanceof ClaimSession.ProposeClaim propose) {
                AttemptId attempt = propose.command().attempt();
                propose(propose.command(), PROPOSE_TIMEOUT_MILLIS)
                        .thenAccept(
                                outcome -> mLoop.execute(() -> onClaimProposed(attempt, outcome)));
            } else if (output instanceof ClaimSession.QueryHolder query) {
                queryHolder(query.attempt());
            } else if (output instanceof ClaimSession.Dispatch) {
                mDecided = true;
                mCallback.onGranted(this);
            } else if (output instanceof ClaimSession.ProposeFinish finish) {
                propose(finish.command(), PROPOSE_TIMEOUT_MILLIS)
                        .thenAccept(outcome -> mLoop.execute(() -> onFinishProposed(outcome)));
            } else if (output instanceof ClaimSession.ReplayAnswer replay) {
                replay(replay.answer());
            } else if (output instanceof ClaimSession.Refuse refuse && !mDecided) {
                mDecided = true;
                mCallback.onRefused(refuse.kind(), refuse.kind().runState(), refuse.message());
            } else if (output instanceof ClaimSession.SessionEnded) {
                runWhenRecorded();
                mRunner.stop();
            }
        }

        private void onClaimProposed(AttemptId attempt, ProposalOutcome outcome) {
            switch (outcome.status()) {
                case APPLIED ->
                        post(
                                new ClaimSession.ClaimApplied(
                                        attempt, ClaimResult.decode(requireResult(outcome))));
                case UNKNOWN -> post(new ClaimSession.ClaimOutcomeUnknown(attempt));
                default -> post(new ClaimSession.ClaimNotAppended(attempt));
            }
        }

        private void runWhenRecorded() {
            Runnable action = mWhenRecorded;
            mWhenRecorded = null;
            if (action != null) {
                action.run();
            }
        }

        private static byte[] requireResult(ProposalOutcome outcome) {
            byte @Nullable [] result = outcome.result();
            if (result == null) {
                throw HemlockrackException.of(ErrorKind.INTERNAL, "applied without a result");
            }
            return result;
        }

        private void queryHolder(AttemptId attempt) {
            InstanceId holder = attempt.holder();
            Optional<Member> member = mFleet.view().member(holder);
            if (member.isEmpty()) {
                return;
            }
            String text = attempt.toString();
            mNetwork.callAsync(member.get().info().peerAddress(), client -> client.abandoned(text))
                    .thenAccept(
                            abandoned ->
                                    mLoop.execute(
                                            () ->
                                                    post(
                                                            new ClaimSession.HolderReplied(
                                                                    attempt, abandoned))));
        }

        private void onFinishProposed(ProposalOutcome outcome) {
            if (outcome.status() == ProposalStatus.APPLIED) {
                post(new ClaimSession.FinishApplied());
            }
        }

        private void replay(RecordedAnswer answer) {
            mDecided = true;
            List<HeaderField> headers = new ArrayList<>();
            for (RecordedAnswer.Header header : answer.headers()) {
                headers.add(HeaderField.of(header.name(), header.value()));
            }
            boolean complete = answer.outcome() == RecordedAnswer.Outcome.COMPLETE;
            mCallback.onReplay(answer.status(), headers, complete ? answer.body() : null);
        }

        @Override
        public void recordAnswer(
                int status, List<HeaderField> headers, byte[] body, Runnable whenRecorded) {
            mWhenRecorded = whenRecorded;
            mLoop.scheduleAt(mLoop.nowNanos() + MAX_RECORD_WAIT_NANOS, this::runWhenRecorded);
            List<RecordedAnswer.Header> recorded = new ArrayList<>();
            for (HeaderField field : headers) {
                recorded.add(new RecordedAnswer.Header(field.name(), field.value()));
            }
            post(new ClaimSession.AnswerArrived(RecordedAnswer.complete(status, recorded, body)));
        }

        @Override
        public void markNotRun() {
            post(new ClaimSession.NotDispatched(ErrorKind.NO_BACKEND));
        }

        @Override
        public void markUnknown() {
            post(new ClaimSession.AnswerLost(ErrorKind.OUTCOME_UNKNOWN));
        }
    }
}
