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
import org.hemlockrack.rollout.internal.LoadPlan;
import org.hemlockrack.rollout.internal.Pace;
import org.jspecify.annotations.Nullable;

/**
 * Moves the roll-outs of the replicated state while this instance leads. All that it decides on is
 * in the replicated state or comes from announcements, so a new leader continues where the old one
 * stopped. It acts only under the authority number that the log gave it last.
 */
public final class RolloutController implements Decider<ControllerEvent, ControllerOutput> {
    private static final long TICK_NANOS = TimeUnit.MILLISECONDS.toNanos(200);
    private static final long PROPOSAL_RETRY_NANOS = TimeUnit.SECONDS.toNanos(2);

    private final InstanceId mInstance;
    private final RolloutState mState;
    private final RolloutSettings mSettings;
    private final RandomGenerator mRandom;
    private final Map<Long, FaultDetector> mDetectors = new HashMap<>();
    private final Map<Long, Proposal> mProposals = new HashMap<>();
    private final LoadPlan mLoads;
    private @Nullable Proposal mAcquire;
    private boolean mLeading;
    private long mAuthority;
    private long mStateTimeMillis;
    private long mStateTimeNanos;
    private long mNextTickNanos = NO_TIMER;

    /** A proposal whose end is not known; it is repeated with the same request id. */
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
        mLoads = LoadPlan.of(settings);
    }

    /**
     * Creates a controller that does not lead.
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
            long nowNanos, ControllerEvent event, Consumer<? super ControllerOutput> out) {
        if (event instanceof ControllerEvent.LeadershipGained) {
            mLeading = true;
            mAuthority = 0;
            act(nowNanos, out);
        } else if (event instanceof ControllerEvent.LeadershipLost) {
            resign();
        } else if (event instanceof ControllerEvent.StateChanged) {
            act(nowNanos, out);
        } else if (event instanceof ControllerEvent.ProposalEnded ended) {
            proposalEnded(ended);
            act(nowNanos, out);
        } else if (event instanceof ControllerEvent.BackendUpdated seen) {
            mLoads.seen(nowNanos, seen.status());
        } else if (event instanceof ControllerEvent.BackendGone gone) {
            mLoads.gone(gone.backend());
        } else if (event instanceof ControllerEvent.OrderFailed failed) {
            mLoads.failed(nowNanos, failed.order());
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super ControllerOutput> out) {
        if (nowNanos >= mNextTickNanos) {
            act(nowNanos, out);
        }
    }

    @Override
    public long nextTimerNanos() {
        return mNextTickNanos;
    }

    /**
     * Returns whether an order is the newest that this controller gave to its server. The daemon
     * asks this for an {@link OrderOutput.ConfirmOrder} after it confirmed by a majority read that
     * the state is up to date.
     *
     * @param order the order
     * @return whether it may still take effect
     */
    public boolean confirms(Order order) {
        return inCharge() && order.fence().authority() == mAuthority && mLoads.isNewest(order);
    }

    private boolean inCharge() {
        return mLeading && mAuthority > 0 && mAuthority == mState.authority();
    }

    private void resign() {
        mLeading = false;
        mAuthority = 0;
        mAcquire = null;
        mProposals.clear();
        mDetectors.clear();
        mLoads.forgetOrders();
        mNextTickNanos = NO_TIMER;
    }

    private void noteTime(long nowNanos) {
        if (mState.timeMillis() != mStateTimeMillis) {
            mStateTimeMillis = mState.timeMillis();
            mStateTimeNanos = nowNanos;
        }
    }

    private void proposalEnded(ControllerEvent.ProposalEnded ended) {
        Optional<RolloutResult> result = ended.result();
        if (result.isEmpty()) {
            return;
        }
        if (mAcquire != null && mAcquire.command().requestId().equals(ended.requestId())) {
            mAcquire = null;
            mAuthority = result.get().number();
            return;
        }
        mProposals.values().removeIf(each -> each.command().requestId().equals(ended.requestId()));
    }

    private void act(long nowNanos, Consumer<? super ControllerOutput> out) {
        if (!mLeading) {
            return;
        }
        mNextTickNanos = nowNanos + TICK_NANOS;
        noteTime(nowNanos);
        if (!inCharge() || mLoads.exhausted()) {
            acquire(nowNanos, out);
            return;
        }
        List<Rollout> current = mState.current();
        mDetectors.keySet().retainAll(current.stream().map(Rollout::id).toList());
        mProposals.keySet().retainAll(current.stream().map(Rollout::id).toList());
        for (Rollout rollout : current) {
            if (rollout.isRunning()) {
                move(nowNanos, rollout, out);
            }
        }
        mLoads.order(nowNanos, nowMillis(nowNanos), mAuthority, current, out);
    }

    private void acquire(long nowNanos, Consumer<? super ControllerOutput> out) {
        if (mAcquire != null && nowNanos < mAcquire.sentNanos() + PROPOSAL_RETRY_NANOS) {
            return;
        }
        RolloutCommand command =
                mAcquire == null
                        ? new RolloutCommand.AcquireAuthority(newId(), mInstance.value())
                        : mAcquire.command();
        mLoads.forgetOrders();
        mProposals.clear();
        mAcquire = new Proposal(command, nowNanos);
        out.accept(new ControllerOutput.Propose(command));
    }

    private void move(long nowNanos, Rollout rollout, Consumer<? super ControllerOutput> out) {
        Optional<RolloutCommand> decided = decide(nowNanos, rollout);
        Proposal open = mProposals.get(rollout.id());
        if (open != null) {
            boolean rollsBack = decided.isPresent() && overtakes(decided.get(), open.command());
            if (!rollsBack) {
                repeat(nowNanos, rollout.id(), open, out);
                return;
            }
        }
        if (decided.isPresent()) {
            mProposals.put(rollout.id(), new Proposal(decided.get(), nowNanos));
            out.accept(new ControllerOutput.Propose(decided.get()));
        }
    }

    /** A fault does not wait for the end of a proposal to advance. */
    private static boolean overtakes(RolloutCommand decided, RolloutCommand open) {
        return decided instanceof RolloutCommand.RollBack
                && !(open instanceof RolloutCommand.RollBack);
    }

    private void repeat(
            long nowNanos, long rolloutId, Proposal open, Consumer<? super ControllerOutput> out) {
        if (nowNanos < open.sentNanos() + PROPOSAL_RETRY_NANOS) {
            return;
        }
        mProposals.put(rolloutId, new Proposal(open.command(), nowNanos));
        out.accept(new ControllerOutput.Propose(open.command()));
    }

    private Optional<RolloutCommand> decide(long nowNanos, Rollout rollout) {
        FleetEvidence evidence = mState.evidence(rollout.id()).orElseThrow();
        Optional<Finding> fault = evidence.fault();
        if (fault.isEmpty()) {
            fault =
                    detector(rollout.id())
                            .test(
                                    evidence.table(),
                                    rollout.stage(),
                                    evidence.table().cells().keySet());
        }
        if (fault.isPresent()) {
            return Optional.of(rollBack(rollout, fault.get().reason(), fault.get().detail()));
        }
        Pace pace = Pace.of(rollout, evidence.table(), mSettings);
        int next = Math.min(rollout.stage() + 1, Stages.last());
        boolean loaded = mLoads.enough(rollout, next);
        return switch (pace.step(nowMillis(nowNanos), loaded)) {
            case WAIT -> Optional.empty();
            case ADVANCE ->
                    Optional.of(
                            new RolloutCommand.Advance(
                                    newId(), mAuthority, rollout.id(), rollout.stage()));
            case COMPLETE ->
                    Optional.of(new RolloutCommand.Complete(newId(), mAuthority, rollout.id()));
            case UNJUDGED ->
                    Optional.of(
                            rollBack(
                                    rollout,
                                    RolloutReason.UNJUDGED,
                                    "only " + evidence.table().judged() + " requests were seen"));
            case NOT_LOADED ->
                    Optional.of(
                            rollBack(
                                    rollout,
                                    RolloutReason.NOT_LOADED,
                                    mLoads.describe(rollout, next)));
        };
    }

    private RolloutCommand rollBack(Rollout rollout, RolloutReason reason, String detail) {
        return new RolloutCommand.RollBack(newId(), mAuthority, rollout.id(), reason, detail);
    }

    private FaultDetector detector(long rolloutId) {
        return mDetectors.computeIfAbsent(
                rolloutId, id -> FaultDetector.of(mSettings.fleetFalseAlarmRate()));
    }

    private long nowMillis(long nowNanos) {
        return mStateTimeMillis + TimeUnit.NANOSECONDS.toMillis(nowNanos - mStateTimeNanos);
    }

    private String newId() {
        return mInstance + "/" + Long.toHexString(mRandom.nextLong());
    }
}
