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
import org.hemlockrack.daemon.fleet.Fleet;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.Loop;
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
    private static final long CLAIM_MILLIS = 3_000;
    private static final long ASK_MILLIS = 1_000;
    private static final long FINISH_MILLIS = 60_000;

    /** The caller waits no longer than this for its answer to be recorded. */
    private static final long RECORD_WAIT_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final Loop mLoop;
    private final Fleet mFleet;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final AttemptSource mSource;
    private final AbandonedAttempts mAbandoned;
    private final DeciderRunner<AbandonedAttempts.Event, AbandonedAttempts.Output> mReleases;
    private long mRunMillis;
    private int mMaxAnswerBytes;

    private ClaimService(
            Loop loop, Fleet fleet, PeerNetwork network, Proposer proposer, AttemptSource source) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mProposer = proposer;
        mSource = source;
        mAbandoned = AbandonedAttempts.of(source);
        mReleases = DeciderRunner.create(loop, mAbandoned, this::release);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param proposer brings commands to the log
     * @param source attempts of this instance
     * @return the service
     */
    public static ClaimService create(
            Loop loop, Fleet fleet, PeerNetwork network, Proposer proposer, AttemptSource source) {
        return new ClaimService(loop, fleet, network, proposer, source);
    }

    /**
     * Sets the limits of the configuration in force.
     *
     * @param runMillis longest run of a command
     * @param maxAnswerBytes largest recorded answer
     */
    public void configure(long runMillis, int maxAnswerBytes) {
        mRunMillis = runMillis;
        mMaxAnswerBytes = maxAnswerBytes;
    }

    /**
     * Answers another instance. Safe for use from any thread but the loop.
     *
     * @param attempt text form of an attempt of this instance
     * @return whether the attempt was given up without dispatch
     */
    public boolean isAbandoned(String attempt) {
        AttemptId id = AttemptId.parse(attempt);
        return mLoop.submit(() -> mAbandoned.isAbandoned(id)).join();
    }

    private void release(AbandonedAttempts.Output output) {
        if (!(output instanceof AbandonedAttempts.ProposeRelease propose)) {
            return;
        }
        AttemptId attempt = propose.command().attempt();
        propose(propose.command(), CLAIM_MILLIS)
                .thenAccept(
                        outcome ->
                                mLoop.execute(
                                        () -> {
                                            if (outcome.status() == ProposalStatus.APPLIED) {
                                                mReleases.post(
                                                        new AbandonedAttempts.ReleaseApplied(
                                                                attempt));
                                            }
                                            armReleases();
                                        }));
    }

    private CompletableFuture<ProposalOutcome> propose(ClaimCommand command, long timeoutMillis) {
        return mProposer.propose(
                StateMachineId.CLAIMS.encodeCommand(command.encode()), timeoutMillis);
    }

    /** A session adds abandoned attempts without an event, so the timer is looked at again. */
    private void armReleases() {
        mReleases.rearm();
    }

    @Override
    public void claim(CallerRequest request, Decision decision) {
        ClaimKey key;
        try {
            key = new ClaimKey(request.workspace(), String.valueOf(request.idempotencyKey()));
        } catch (HemlockrackException e) {
            decision.refused(e.kind(), e.kind().runState(), String.valueOf(e.getMessage()));
            return;
        }
        BodyHash hash =
                BodyHash.of(
                        request.call().method(),
                        request.service() + request.call().target(),
                        request.call().body());
        ClaimSession.Timeouts times =
                new ClaimSession.Timeouts(
                        TimeUnit.MILLISECONDS.toNanos(CLAIM_MILLIS + ASK_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(ASK_MILLIS),
                        TimeUnit.MILLISECONDS.toNanos(mRunMillis),
                        TimeUnit.MILLISECONDS.toNanos(FINISH_MILLIS));
        ClaimSession session =
                ClaimSession.of(key, hash, mSource, mAbandoned, times, mMaxAnswerBytes);
        new Claim(session, decision).start();
    }

    /** Runs one session. */
    private final class Claim implements Ticket {
        private final DeciderRunner<ClaimSession.Event, ClaimSession.Output> mRunner;
        private final Decision mDecision;
        private @Nullable Runnable mWhenRecorded;
        private boolean mDecided;

        Claim(ClaimSession session, Decision decision) {
            mDecision = decision;
            mRunner = DeciderRunner.create(mLoop, session, this::carryOut);
        }

        void start() {
            post(new ClaimSession.Started());
        }

        private void post(ClaimSession.Event event) {
            mRunner.post(event);
            armReleases();
        }

        private void carryOut(ClaimSession.Output output) {
            if (output instanceof ClaimSession.ProposeClaim propose) {
                AttemptId attempt = propose.command().attempt();
                propose(propose.command(), CLAIM_MILLIS)
                        .thenAccept(outcome -> mLoop.execute(() -> claimed(attempt, outcome)));
            } else if (output instanceof ClaimSession.QueryHolder ask) {
                askHolder(ask.attempt());
            } else if (output instanceof ClaimSession.Dispatch) {
                mDecided = true;
                mDecision.granted(this);
            } else if (output instanceof ClaimSession.ProposeFinish finish) {
                propose(finish.command(), CLAIM_MILLIS)
                        .thenAccept(outcome -> mLoop.execute(() -> finishProposed(outcome)));
            } else if (output instanceof ClaimSession.ReplayAnswer replay) {
                replay(replay.answer());
            } else if (output instanceof ClaimSession.Refuse refuse && !mDecided) {
                mDecided = true;
                mDecision.refused(refuse.kind(), refuse.kind().runState(), refuse.message());
            } else if (output instanceof ClaimSession.SessionEnded) {
                recorded();
                mRunner.stop();
            }
        }

        private void claimed(AttemptId attempt, ProposalOutcome outcome) {
            switch (outcome.status()) {
                case APPLIED ->
                        post(
                                new ClaimSession.ClaimApplied(
                                        attempt, ClaimResult.decode(requireResult(outcome))));
                case UNKNOWN -> post(new ClaimSession.ClaimOutcomeUnknown(attempt));
                default -> post(new ClaimSession.ClaimNotAppended(attempt));
            }
        }

        private void recorded() {
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

        private void askHolder(AttemptId attempt) {
            InstanceId holder = attempt.holder();
            Optional<Member> member = mFleet.view().member(holder);
            if (member.isEmpty()) {
                return;
            }
            String text = attempt.toString();
            mNetwork.ask(member.get().info().peerAddress(), client -> client.abandoned(text))
                    .thenAccept(
                            abandoned ->
                                    mLoop.execute(
                                            () ->
                                                    post(
                                                            new ClaimSession.HolderReplied(
                                                                    attempt, abandoned))));
        }

        private void finishProposed(ProposalOutcome outcome) {
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
            mDecision.replay(answer.status(), headers, complete ? answer.body() : null);
        }

        @Override
        public void finished(
                int status, List<HeaderField> headers, byte[] body, Runnable whenRecorded) {
            mWhenRecorded = whenRecorded;
            mLoop.schedule(mLoop.nowNanos() + RECORD_WAIT_NANOS, this::recorded);
            List<RecordedAnswer.Header> recorded = new ArrayList<>();
            for (HeaderField field : headers) {
                recorded.add(new RecordedAnswer.Header(field.name(), field.value()));
            }
            post(new ClaimSession.AnswerArrived(RecordedAnswer.complete(status, recorded, body)));
        }

        @Override
        public void notRun() {
            post(new ClaimSession.NotDispatched(ErrorKind.NO_BACKEND));
        }

        @Override
        public void unknown() {
            post(new ClaimSession.AnswerLost(ErrorKind.OUTCOME_UNKNOWN));
        }
    }
}
