package org.hemlockrack.rollout;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.internal.FaultDetector;
import org.hemlockrack.rollout.internal.FleetEvidence;
import org.hemlockrack.rollout.internal.LoadScheduler;
import org.hemlockrack.rollout.internal.StagePolicy;
import org.jspecify.annotations.Nullable;

/**
 * Drives the roll-outs of the replicated state while this instance is leader. Its decisions depend
 * only on the replicated state and on the announcements of backend servers, so a new leader
 * continues where the previous one stopped. The controller acts only while the authority number
 * (controller epoch) that the log assigned to it is the newest.
 */
public final class RolloutController
        implements Decider<RolloutControllerEvent, RolloutControllerOutput> {
    private static final long EVALUATION_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long PROPOSAL_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final InstanceId mInstance;
    private final RolloutState mState;
    private final RolloutSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<Long, FaultDetector> mDetectors = new HashMap<>();
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final LoadScheduler mLoadScheduler;
    private @Nullable Proposal mAuthorityProposal;
    private boolean mLeading;
    private long mAuthority;
    private long mStateTimeMillis;
    private long mStateTimeNanos;
    private long mNextEvaluationNanos = NO_TIMER;

    /** A proposal whose result is not known yet; it is retried with the same request id. */
    private record Proposal(RolloutCommand command, long sentNanos) {}

    private RolloutController(
            InstanceId instance,
            RolloutState state,
            RolloutSettings settings,
            RandomGenerator random) {
        mInstance = instance;
        mState = state;
        mSettings = settings;
        mRandom = random;
        mLoadScheduler = LoadScheduler.of(settings);
    }

    /**
     * Creates a controller of an instance that is not leader yet.
     *
     * @param instance this instance
     * @param state the replicated state; the controller only reads it
     * @param settings settings
     * @param random source of request ids
     * @return the controller
     */
    public static RolloutController of(
            InstanceId instance,
            RolloutState state,
            RolloutSettings settings,
            RandomGenerator random) {
        return new RolloutController(instance, state, settings, random);
    }

    @Override
    public void onEvent(
            long nowNanos,
            RolloutControllerEvent event,
            Consumer<? super RolloutControllerOutput> out) {
        if (event instanceof RolloutControllerEvent.LeadershipGained) {
            mLeading = true;
            mAuthority = 0;
            evaluate(nowNanos, out);
        } else if (event instanceof RolloutControllerEvent.LeadershipLost) {
            resign();
        } else if (event instanceof RolloutControllerEvent.StateChanged) {
            evaluate(nowNanos, out);
        } else if (event instanceof RolloutControllerEvent.ProposalEnded ended) {
            onProposalEnded(ended);
            evaluate(nowNanos, out);
        } else if (event instanceof RolloutControllerEvent.BackendUpdated updated) {
            mLoadScheduler.onBackendUpdated(nowNanos, updated.status());
        } else if (event instanceof RolloutControllerEvent.BackendGone gone) {
            mLoadScheduler.onBackendGone(gone.backend());
        } else if (event instanceof RolloutControllerEvent.OrderFailed failed) {
            mLoadScheduler.onOrderFailed(nowNanos, failed.order());
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super RolloutControllerOutput> out) {
        if (nowNanos >= mNextEvaluationNanos) {
            evaluate(nowNanos, out);
        }
    }

    @Override
    public long nextTimerNanos() {
        return mNextEvaluationNanos;
    }

    /**
     * Returns whether this controller is current and an order is the newest that it issued for its
     * server. The daemon calls this for an {@link OrderOutput.ConfirmOrder}, after a quorum read
     * has confirmed that the state is up to date.
     *
     * @param order the order
     * @return true if the order may still take effect
     */
    public boolean confirms(ModelOrder order) {
        return holdsAuthority()
                && order.fencingToken().authority() == mAuthority
                && mLoadScheduler.isNewest(order);
    }

    /** Returns whether this instance is leader and its authority number is the newest. */
    private boolean holdsAuthority() {
        return mLeading && mAuthority > 0 && mAuthority == mState.authority();
    }

    /** Discards everything that is only valid while this instance is leader. */
    private void resign() {
        mLeading = false;
        mAuthority = 0;
        mAuthorityProposal = null;
        mProposals.clear();
        mDetectors.clear();
        mLoadScheduler.forgetOrders();
        mNextEvaluationNanos = NO_TIMER;
    }

    /** Notes when the leader time of the replicated state last changed, for {@link #nowMillis}. */
    private void trackLeaderTime(long nowNanos) {
        if (mState.timeMillis() != mStateTimeMillis) {
            mStateTimeMillis = mState.timeMillis();
            mStateTimeNanos = nowNanos;
        }
    }

    private void onProposalEnded(RolloutControllerEvent.ProposalEnded ended) {
        Optional<RolloutResult> result = ended.result();
        if (result.isEmpty()) {
            return;
        }
        if (mAuthorityProposal != null
                && mAuthorityProposal.command().requestId().equals(ended.requestId())) {
            mAuthorityProposal = null;
            mAuthority = result.get().number();
            return;
        }
        mProposals
                .values()
                .removeIf(proposal -> proposal.command().requestId().equals(ended.requestId()));
    }

    /**
     * Acquires authority if necessary, and otherwise proposes the next steps of all running
     * roll-outs and issues orders.
     */
    private void evaluate(long nowNanos, Consumer<? super RolloutControllerOutput> out) {
        if (!mLeading) {
            return;
        }
        mNextEvaluationNanos = nowNanos + EVALUATION_NANOS;
        trackLeaderTime(nowNanos);
        if (!holdsAuthority() || mLoadScheduler.isSequenceExhausted()) {
            acquireAuthority(nowNanos, out);
            return;
        }
        List<Rollout> current = mState.current();
        mDetectors.keySet().retainAll(current.stream().map(Rollout::id).toList());
        mProposals.keySet().retainAll(current.stream().map(Rollout::id).toList());
        for (Rollout rollout : current) {
            if (rollout.isRunning()) {
                proposeNextStep(nowNanos, rollout, out);
            }
        }
        mLoadScheduler.issueOrders(nowNanos, nowMillis(nowNanos), mAuthority, current, out);
    }

    /** Proposes to acquire a new authority number, or retries the proposal. */
    private void acquireAuthority(long nowNanos, Consumer<? super RolloutControllerOutput> out) {
        if (mAuthorityProposal != null
                && nowNanos < mAuthorityProposal.sentNanos() + PROPOSAL_RETRY_NANOS) {
            return;
        }
        RolloutCommand command =
                mAuthorityProposal == null
                        ? new RolloutCommand.AcquireAuthority(newRequestId(), mInstance.value())
                        : mAuthorityProposal.command();
        mLoadScheduler.forgetOrders();
        mProposals.clear();
        mAuthorityProposal = new Proposal(command, nowNanos);
        out.accept(new RolloutControllerOutput.Propose(command));
    }

    /** Proposes the next step of a roll-out, or retries a proposal whose result is unknown. */
    private void proposeNextStep(
            long nowNanos, Rollout rollout, Consumer<? super RolloutControllerOutput> out) {
        Optional<RolloutCommand> decided = decide(nowNanos, rollout);
        Proposal pending = mProposals.get(rollout.id());
        if (pending != null) {
            boolean rollBackFirst =
                    decided.isPresent() && preempts(decided.get(), pending.command());
            if (!rollBackFirst) {
                retryIfDue(nowNanos, rollout.id(), pending, out);
                return;
            }
        }
        if (decided.isPresent()) {
            mProposals.put(rollout.id(), new Proposal(decided.get(), nowNanos));
            out.accept(new RolloutControllerOutput.Propose(decided.get()));
        }
    }

    /**
     * Returns whether a roll-back is to be proposed although the result of another proposal is
     * still unknown. A fault must not wait for the result of a proposal to advance.
     */
    private static boolean preempts(RolloutCommand decided, RolloutCommand pending) {
        return decided instanceof RolloutCommand.RollBack
                && !(pending instanceof RolloutCommand.RollBack);
    }

    private void retryIfDue(
            long nowNanos,
            long rolloutId,
            Proposal pending,
            Consumer<? super RolloutControllerOutput> out) {
        if (nowNanos < pending.sentNanos() + PROPOSAL_RETRY_NANOS) {
            return;
        }
        mProposals.put(rolloutId, new Proposal(pending.command(), nowNanos));
        out.accept(new RolloutControllerOutput.Propose(pending.command()));
    }

    private Optional<RolloutCommand> decide(long nowNanos, Rollout rollout) {
        FleetEvidence evidence = mState.evidence(rollout.id()).orElseThrow();
        Optional<DetectedFault> fault = evidence.fault();
        if (fault.isEmpty()) {
            fault =
                    detector(rollout.id())
                            .test(
                                    evidence.table(),
                                    rollout.stage(),
                                    evidence.table().cells().keySet());
        }
        if (fault.isPresent()) {
            return Optional.of(
                    rollBackCommand(rollout, fault.get().reason(), fault.get().detail()));
        }
        StagePolicy policy = StagePolicy.of(rollout, evidence.table(), mSettings);
        int next = Math.min(rollout.stage() + 1, Stages.last());
        boolean loaded = mLoadScheduler.hasEnoughLoaded(rollout, next);
        return switch (policy.nextStep(nowMillis(nowNanos), loaded)) {
            case WAIT -> Optional.empty();
            case ADVANCE ->
                    Optional.of(
                            new RolloutCommand.Advance(
                                    newRequestId(), mAuthority, rollout.id(), rollout.stage()));
            case COMPLETE ->
                    Optional.of(
                            new RolloutCommand.Complete(newRequestId(), mAuthority, rollout.id()));
            case UNJUDGED ->
                    Optional.of(
                            rollBackCommand(
                                    rollout,
                                    RolloutReason.UNJUDGED,
                                    "only "
                                            + evidence.table().judgedRequests()
                                            + " requests of the new version were seen"));
            case NOT_LOADED ->
                    Optional.of(
                            rollBackCommand(
                                    rollout,
                                    RolloutReason.NOT_LOADED,
                                    mLoadScheduler.describeProgress(rollout, next)));
        };
    }

    private RolloutCommand rollBackCommand(Rollout rollout, RolloutReason reason, String detail) {
        return new RolloutCommand.RollBack(
                newRequestId(), mAuthority, rollout.id(), reason, detail);
    }

    private FaultDetector detector(long rolloutId) {
        return mDetectors.computeIfAbsent(
                rolloutId, id -> FaultDetector.of(mSettings.fleetFalseAlarmRate()));
    }

    /** Returns an estimate of the current leader time. */
    private long nowMillis(long nowNanos) {
        return mStateTimeMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mStateTimeNanos);
    }

    private String newRequestId() {
        return mInstance + "/" + Long.toHexString(mRandom.nextLong());
    }
}
