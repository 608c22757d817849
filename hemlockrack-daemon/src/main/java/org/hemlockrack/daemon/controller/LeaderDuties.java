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
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.consensus.VoterReconciler;
import org.hemlockrack.control.ControlCommand;
import org.hemlockrack.control.MoveEvaluator;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.control.MoveStatus;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;

/**
 * What only the leader of the controllers does: it replaces lost voters and decides the steps of
 * traffic moves. Confined to the loop, except for {@link #controllerSeen}.
 */
final class LeaderDuties {
    /** Controllers ask each other several times a second; a silent one is out of reach. */
    private static final long CONTROLLER_NANOS = TimeUnit.MILLISECONDS.toNanos(1_200);

    private final Loop mLoop;
    private final InstanceId mSelf;
    private final ReplicaService mReplica;
    private final DecisionLog mLog;
    private final Map<TrafficMove, Long> mMoveSeenNanos = new HashMap<>();
    private final VoterReconciler mVoters = VoterReconciler.create();
    private final Map<InstanceId, Long> mControllersSeenNanos = new ConcurrentHashMap<>();
    private final AtomicBoolean mChangingVoters = new AtomicBoolean();

    private LeaderDuties(Loop loop, InstanceId self, ReplicaService replica, DecisionLog log) {
        mLoop = loop;
        mSelf = self;
        mReplica = replica;
        mLog = log;
    }

    static LeaderDuties create(
            Loop loop, InstanceId self, ReplicaService replica, DecisionLog log) {
        return new LeaderDuties(loop, self, replica, log);
    }

    /** Notes that another controller has asked this one. Safe for use from any thread. */
    void controllerSeen(long nowNanos, InstanceId controller) {
        mControllersSeenNanos.put(controller, nowNanos);
    }

    /**
     * Takes the steps that are due.
     *
     * @param facts the control state
     * @param answers gives the answers of a service by software version
     */
    void run(RoutingOverrides facts, Function<ServiceId, Map<String, VersionAnswers>> answers) {
        reconcileVoters();
        for (TrafficMove move : facts.moves().values()) {
            if (move.status() == MoveStatus.IN_PROGRESS) {
                evaluate(move, answers.apply(move.service()));
            }
        }
    }

    private void reconcileVoters() {
        Set<InstanceId> answering = new HashSet<>();
        long nowNanos = mLoop.nowNanos();
        mControllersSeenNanos.values().removeIf(seen -> nowNanos - seen > CONTROLLER_NANOS);
        answering.addAll(mControllersSeenNanos.keySet());
        answering.add(mSelf);
        mVoters.recordResponsive(nowNanos, answering);
        VoterChange change = mVoters.nextChange(nowNanos, mReplica.membership(), answering);
        if (change == null || mChangingVoters.getAndSet(true)) {
            return;
        }
        mReplica.changeVoters(change)
                .whenComplete(
                        (outcome, fault) -> {
                            mChangingVoters.set(false);
                            if (outcome != null && outcome.status() == ProposalStatus.APPLIED) {
                                mLog.state("voters_changed")
                                        .put("action", change.action().name())
                                        .put("controller", change.instance().value())
                                        .write();
                            }
                        });
    }

    private void evaluate(TrafficMove move, Map<String, VersionAnswers> answers) {
        VersionAnswers target = answers.getOrDefault(move.target(), VersionAnswers.NONE);
        VersionAnswers others = VersionAnswers.NONE;
        for (Map.Entry<String, VersionAnswers> each : answers.entrySet()) {
            if (!each.getKey().equals(move.target())) {
                others = others.mergedWith(each.getValue());
            }
        }
        TrafficMove next = MoveEvaluator.nextStep(move, leftMillis(move), target, others);
        if (next == null) {
            return;
        }
        byte[] command =
                next.status() == MoveStatus.IN_PROGRESS
                        ? ControlCommand.advanceMove(next)
                        : ControlCommand.finishMove(next);
        mLog.state("move_step")
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
     * Time to the deadline by the monotonic clock, because the time of day may jump while a move is
     * in progress.
     */
    private long leftMillis(TrafficMove move) {
        long nowNanos = mLoop.nowNanos();
        long durationMillis = move.deadlineMillis() - move.startMillis();
        TrafficMove key = move.withShare(0);
        Long seenNanos = mMoveSeenNanos.get(key);
        if (seenNanos == null) {
            long goneMillis = System.currentTimeMillis() - move.startMillis();
            long clampedMillis = Math.max(0, Math.min(durationMillis, goneMillis));
            seenNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(clampedMillis);
            mMoveSeenNanos.put(key, seenNanos);
        }
        return durationMillis - TimeUnit.NANOSECONDS.toMillis(nowNanos - seenNanos);
    }
}
