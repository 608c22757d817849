package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.Optional;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.consensus.Member;
import org.hemlockrack.consensus.MemberKind;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Lists and changes the voters. Only the leader answers; others name it. */
public final class VoterCommands {
    private static final int STATUS_OK = 200;
    private static final long DEFAULT_MILLIS = 30_000;

    /** A started step is not cut short, because its outcome would be unknown. */
    private static final long MIN_STEP_MILLIS = 5_000;

    /** A learner catches up in rounds of the log's heartbeat, which is 100 ms. */
    private static final long RETRY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop mLoop;
    private final @Nullable ReplicaService mReplica;
    private final VoterDirectory mVoters;

    private VoterCommands(EventLoop loop, @Nullable ReplicaService replica, VoterDirectory voters) {
        mLoop = loop;
        mReplica = replica;
        mVoters = voters;
    }

    /**
     * Creates the commands.
     *
     * @param loop runs retries
     * @param replica the replica of this instance, or null if it holds no log
     * @param voters where the voters are
     * @return the commands
     */
    public static VoterCommands create(
            EventLoop loop, @Nullable ReplicaService replica, VoterDirectory voters) {
        return new VoterCommands(loop, replica, voters);
    }

    void handle(String[] parts, HttpCall call, Responder responder) {
        if (mReplica == null) {
            responder.sendError(ErrorKind.NOT_READY, mVoters.noLogHint(), 1_000);
            return;
        }
        if (mReplica.role() != Role.LEADER) {
            refuseNotLeader(mReplica.leader(), responder);
            return;
        }
        if (parts.length == 1) {
            responder.sendJson(STATUS_OK, list(mReplica).toString());
            return;
        }
        InstanceId instance = InstanceId.of(Parameters.name("instance id", parts[1]));
        long timeoutMillis = Parameters.timeoutMillis(call, DEFAULT_MILLIS);
        long endNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Goal goal = goal(parts[2]);
        mLoop.execute(() -> new Change(mReplica, goal, instance, endNanos, responder).step());
    }

    private static Goal goal(String action) {
        return switch (action) {
            case "add" -> Goal.VOTER;
            case "remove" -> Goal.ABSENT;
            default ->
                    throw HemlockrackException.of(
                            ErrorKind.NOT_FOUND, "allowed: add, remove; found: " + action);
        };
    }

    private void refuseNotLeader(@Nullable InstanceId leader, Responder responder) {
        if (leader == null) {
            responder.sendError(
                    ErrorKind.NO_QUORUM, "no leader of the replicated log is known", 1_000);
            return;
        }
        responder.sendError(
                ErrorKind.NOT_READY,
                "this instance does not lead; ask the operator port of " + mVoters.describe(leader),
                1_000);
    }

    private static ObjectNode list(ReplicaService replica) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        InstanceId leader = replica.leader();
        json.put("leader", leader == null ? "" : leader.value());
        json.put("term", replica.term());
        ArrayNode voters = json.putArray("voters");
        for (Member member : replica.membership().members()) {
            ObjectNode row = voters.addObject();
            row.put("instance", member.replica().instance().value());
            row.put("standing", member.kind().name());
            row.put("replica", Long.toHexString(member.replica().replicaId()));
        }
        return json;
    }

    /** What an operator wants an instance to be. */
    private enum Goal {
        VOTER {
            @Override
            Optional<VoterChange.Action> next(Membership members, InstanceId instance) {
                if (members.memberOf(instance, true).isPresent()) {
                    return Optional.empty();
                }
                Optional<Member> learner = members.memberOf(instance, false);
                return Optional.of(
                        learner.isPresent()
                                ? VoterChange.Action.PROMOTE
                                : VoterChange.Action.ADD_LEARNER);
            }

            @Override
            String refusal(InstanceId instance) {
                return instance
                        + " did not become a voter in time; it needs a data folder, settings that"
                        + " list it as a voter on all voters, and there are at most 7 voters";
            }
        },
        ABSENT {
            @Override
            Optional<VoterChange.Action> next(Membership members, InstanceId instance) {
                boolean member =
                        members.memberOf(instance, true).isPresent()
                                || members.memberOf(instance, false).isPresent();
                return member ? Optional.of(VoterChange.Action.REMOVE) : Optional.empty();
            }

            @Override
            String refusal(InstanceId instance) {
                return instance + " was not removed in time; the last voter cannot be removed";
            }
        };

        /** Returns the next step, or empty when the goal is reached. */
        abstract Optional<VoterChange.Action> next(Membership members, InstanceId instance);

        abstract String refusal(InstanceId instance);

        /** Returns whether an instance is a replacement, which the leader promotes by itself. */
        static boolean isReplacement(Membership members, InstanceId instance) {
            return members.memberOf(instance, false)
                    .map(member -> member.kind() == MemberKind.REPLACEMENT)
                    .orElse(false);
        }
    }

    /** One change on its way, step by step until its goal is reached. Confined to the loop. */
    private final class Change {
        private final ReplicaService mLog;
        private final Goal mGoal;
        private final InstanceId mInstance;
        private final long mEndNanos;
        private final Responder mResponder;

        Change(
                ReplicaService log,
                Goal goal,
                InstanceId instance,
                long endNanos,
                Responder responder) {
            mLog = log;
            mGoal = goal;
            mInstance = instance;
            mEndNanos = endNanos;
            mResponder = responder;
        }

        void step() {
            Membership members = mLog.membership();
            Optional<VoterChange.Action> action = mGoal.next(members, mInstance);
            if (action.isEmpty()) {
                mResponder.sendJson(STATUS_OK, list(mLog).toString());
                return;
            }
            if (action.get() == VoterChange.Action.PROMOTE
                    && Goal.isReplacement(members, mInstance)) {
                later();
                return;
            }
            mLog.changeVoters(new VoterChange(action.get(), mInstance))
                    .completeOnTimeout(
                            ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null),
                            Math.max(MIN_STEP_MILLIS, leftMillis()),
                            TimeUnit.MILLISECONDS)
                    .thenAccept(outcome -> mLoop.execute(() -> ended(outcome)));
        }

        private long leftMillis() {
            return TimeUnit.NANOSECONDS.toMillis(mEndNanos - mLoop.nowNanos());
        }

        private void ended(ProposalOutcome outcome) {
            switch (outcome.status()) {
                case APPLIED -> applied();
                case NOT_LEADER -> refuseNotLeader(outcome.leader(), mResponder);
                case UNKNOWN ->
                        mResponder.sendError(
                                ErrorKind.NO_QUORUM,
                                RunState.UNKNOWN,
                                "the change was not committed in time; list the voters before"
                                        + " another try",
                                1_000);
                default -> later();
            }
        }

        /** A leader that removed itself stops leading, so its own list may be out of date. */
        private void applied() {
            if (mGoal == Goal.ABSENT) {
                mResponder.sendJson(STATUS_OK, list(mLog).toString());
                return;
            }
            step();
        }

        private void later() {
            long nowNanos = mLoop.nowNanos();
            if (nowNanos + RETRY_NANOS - mEndNanos >= 0) {
                mResponder.sendError(ErrorKind.NOT_READY, mGoal.refusal(mInstance), 1_000);
                return;
            }
            mLoop.scheduleAt(nowNanos + RETRY_NANOS, this::step);
        }
    }
}
