package org.hemlockrack.daemon.controller;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.Function;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.consensus.VoterReconciler;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.MoveEvaluator;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.control.MoveStatus;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.wire.SyncRequest;

/**
 * Tasks of the leading controller: replaces lost voters and advances traffic moves. Confined to the
 * loop, except for the methods that are marked as thread-safe.
 */
final class LeaderTasks {
    /**
     * A controller that has sent no request for this long is unreachable; controllers exchange
     * state several times a second.
     */
    private static final long CONTROLLER_EXPIRY_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final EventLoop mLoop;
    private final InstanceId mSelf;
    private final ReplicaService mReplica;
    private final DecisionLog mLog;
    private final Map<TrafficMove, Long> mMoveStartNanos = new HashMap<>();
    private final VoterReconciler mVoterReconciler;
    private final Map<InstanceId, Long> mControllersSeenNanos = new ConcurrentHashMap<>();
    private final Set<InstanceId> mLeavingControllers = ConcurrentHashMap.newKeySet();
    private final AtomicBoolean mChangingVoters = new AtomicBoolean();

    private LeaderTasks(
            EventLoop loop,
            InstanceId self,
            ReplicaService replica,
            int toleratedLosses,
            DecisionLog log) {
        mLoop = loop;
        mSelf = self;
        mReplica = replica;
        mVoterReconciler = VoterReconciler.create(toleratedLosses);
        mLog = log;
    }

    static LeaderTasks create(
            EventLoop loop,
            InstanceId self,
            ReplicaService replica,
            int toleratedLosses,
            DecisionLog log) {
        return new LeaderTasks(loop, self, replica, toleratedLosses, log);
    }

    /** Records a request of another controller. Thread-safe. */
    void noteRequest(long nowNanos, SyncRequest request) {
        noteController(nowNanos, InstanceId.of(request.getSender()), request.isLeaving());
    }

    /**
     * Records that a controller runs. Thread-safe.
     *
     * @param nowNanos monotonic time
     * @param controller the controller, this one included
     * @param leaving whether it stops as soon as another one has its seat
     */
    void noteController(long nowNanos, InstanceId controller, boolean leaving) {
        mControllersSeenNanos.put(controller, nowNanos);
        if (!leaving) {
            mLeavingControllers.remove(controller);
        } else if (mLeavingControllers.add(controller)) {
            mLoop.execute(this::continueReconciling);
        }
    }

    /** Records a message of the replica of another controller. Thread-safe. */
    void noteMessage(long nowNanos, InstanceId controller) {
        mControllersSeenNanos.put(controller, nowNanos);
    }

    /** Returns whether the cluster has more voters than it needs. Thread-safe. */
    boolean hasSurplusVoter() {
        return mVoterReconciler.hasSurplusVoter(mReplica.membership(), reachableControllers());
    }

    /** Returns whether a controller has sent a request or a message lately. Thread-safe. */
    boolean isResponsive(InstanceId controller) {
        return mControllersSeenNanos.containsKey(controller);
    }

    /**
     * Runs the tasks that are due. On a controller that does not lead, it only records which others
     * answer, as any may lead next.
     *
     * @param overrides the routing overrides of the control state
     * @param answers returns the answer counts of a service by software version
     */
    void run(RoutingOverrides overrides, Function<ServiceId, Map<String, VersionAnswers>> answers) {
        recordControllers();
        if (mReplica.role() != Role.LEADER) {
            return;
        }
        reconcileVoters();
        for (TrafficMove move : overrides.moves().values()) {
            if (move.status() == MoveStatus.IN_PROGRESS) {
                advanceMove(move, answers.apply(move.service()));
            }
        }
    }

    private void recordControllers() {
        long nowNanos = mLoop.nowNanos();
        mVoterReconciler.recordRunning(nowNanos);
        mControllersSeenNanos.forEach(
                (controller, seenNanos) ->
                        mVoterReconciler.recordResponsive(seenNanos, Set.of(controller)));
        mVoterReconciler.recordResponsive(nowNanos, Set.of(mSelf));
        mControllersSeenNanos.values().removeIf(seen -> nowNanos - seen > CONTROLLER_EXPIRY_NANOS);
    }

    private Set<InstanceId> reachableControllers() {
        Set<InstanceId> reachable = new HashSet<>(mControllersSeenNanos.keySet());
        reachable.add(mSelf);
        return reachable;
    }

    private void reconcileVoters() {
        long nowNanos = mLoop.nowNanos();
        Set<InstanceId> reachable = reachableControllers();
        mVoterReconciler.recordLeaving(mLeavingControllers);
        VoterChange change =
                mVoterReconciler.nextChange(nowNanos, mReplica.membership(), reachable);
        if (change == null || mChangingVoters.getAndSet(true)) {
            return;
        }
        mReplica.changeVoters(change)
                .whenComplete(
                        (outcome, fault) -> {
                            mChangingVoters.set(false);
                            if (outcome != null && outcome.status() == ProposalStatus.APPLIED) {
                                mLog.instanceEvent("voters_changed")
                                        .put("action", change.action().name())
                                        .put("controller", change.instance().value())
                                        .write();
                                mLoop.execute(this::continueReconciling);
                            }
                        });
    }

    /**
     * Proposes the change that follows a committed one. Between the promotion of a successor and
     * the removal of a lost voter a majority is one replica more.
     */
    private void continueReconciling() {
        if (mReplica.role() == Role.LEADER) {
            reconcileVoters();
        }
    }

    private void advanceMove(TrafficMove move, Map<String, VersionAnswers> answers) {
        VersionAnswers target = answers.getOrDefault(move.target(), VersionAnswers.NONE);
        VersionAnswers others = VersionAnswers.NONE;
        for (Map.Entry<String, VersionAnswers> each : answers.entrySet()) {
            if (!each.getKey().equals(move.target())) {
                others = others.mergedWith(each.getValue());
            }
        }
        TrafficMove next = MoveEvaluator.nextStep(move, remainingMillis(move), target, others);
        if (next == null) {
            return;
        }
        byte[] command =
                next.status() == MoveStatus.IN_PROGRESS
                        ? ControlCommand.advanceMove(next)
                        : ControlCommand.finishMove(next);
        mLog.instanceEvent("move_step")
                .put("service", move.service().value())
                .put("target", move.target())
                .put("status", next.status().name())
                .put("share_per_mille", next.sharePerMille())
                .put("target_succeeded", target.succeeded())
                .put("target_failed", target.failed())
                .put("others_succeeded", others.succeeded())
                .put("others_failed", others.failed())
                .write();
        mReplica.propose(command);
    }

    /**
     * Returns the time to the deadline of a move. It is measured by the monotonic clock, because
     * the wall clock may jump while a move is in progress.
     */
    private long remainingMillis(TrafficMove move) {
        long nowNanos = mLoop.nowNanos();
        long durationMillis = move.deadlineMillis() - move.startMillis();
        TrafficMove key = move.withShare(0);
        Long startNanos = mMoveStartNanos.get(key);
        if (startNanos == null) {
            long elapsedMillis = System.currentTimeMillis() - move.startMillis();
            long clampedMillis = Math.max(0, Math.min(durationMillis, elapsedMillis));
            startNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(clampedMillis);
            mMoveStartNanos.put(key, startNanos);
        }
        return durationMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - startNanos);
    }
}
