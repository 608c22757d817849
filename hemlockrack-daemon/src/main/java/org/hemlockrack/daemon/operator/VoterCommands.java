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

/**
 * Handles operators' requests that list or change the voters. Only the leader serves them; other
 * instances respond with an error that names the leader.
 */
public final class VoterCommands {
    private static final int STATUS_OK = 200;
    private static final long DEFAULT_TIMEOUT_MILLIS = 30_000;

    /** Minimum timeout of a step, since the outcome of a step that times out is unknown. */
    private static final long MIN_STEP_TIMEOUT_MILLIS = 5_000;

    /** Heartbeat period of the replicated log, since a learner catches up in such rounds. */
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final EventLoop mLoop;
    private final @Nullable ReplicaService mReplica;
    private final VoterAddresses mVoterAddresses;

    private VoterCommands(
            EventLoop loop, @Nullable ReplicaService replica, VoterAddresses voterAddresses) {
        mLoop = loop;
        mReplica = replica;
        mVoterAddresses = voterAddresses;
    }

    /**
     * Creates the commands.
     *
     * @param loop loop that runs retries
     * @param replica the replica of this instance, or null if it holds no replicated log
     * @param voterAddresses addresses of the voters, for error messages
     * @return the commands
     */
    public static VoterCommands create(
            EventLoop loop, @Nullable ReplicaService replica, VoterAddresses voterAddresses) {
        return new VoterCommands(loop, replica, voterAddresses);
    }

    void handle(String[] segments, HttpCall call, Responder responder) {
        if (mReplica == null) {
            responder.sendError(ErrorKind.NOT_READY, mVoterAddresses.noLogMessage(), 1_000);
            return;
        }
        if (mReplica.role() != Role.LEADER) {
            sendNotLeader(mReplica.leader(), responder);
            return;
        }
        if (segments.length == 1) {
            responder.sendJson(STATUS_OK, votersJson(mReplica).toString());
            return;
        }
        InstanceId instance =
                InstanceId.of(RequestParameters.decodeName("instance id", segments[1]));
        long timeoutMillis = RequestParameters.parseTimeoutMillis(call, DEFAULT_TIMEOUT_MILLIS);
        long deadlineNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        Goal goal = parseGoal(segments[2]);
        mLoop.execute(
                () ->
                        new PendingChange(mReplica, goal, instance, deadlineNanos, responder)
                                .runNextStep());
    }

    private static Goal parseGoal(String action) {
        return switch (action) {
            case "add" -> Goal.VOTER;
            case "remove" -> Goal.ABSENT;
            default ->
                    throw HemlockrackException.of(
                            ErrorKind.NOT_FOUND, "allowed: add, remove; found: " + action);
        };
    }

    private void sendNotLeader(@Nullable InstanceId leader, Responder responder) {
        if (leader == null) {
            responder.sendError(
                    ErrorKind.NO_QUORUM, "no leader of the replicated log is known", 1_000);
            return;
        }
        responder.sendError(
                ErrorKind.NOT_READY,
                "this instance is not the leader; use the operator port of "
                        + mVoterAddresses.describe(leader),
                1_000);
    }

    private static ObjectNode votersJson(ReplicaService replica) {
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

    /** The state that an operator wants an instance to have. */
    private enum Goal {
        VOTER {
            @Override
            Optional<VoterChange.Action> nextAction(Membership members, InstanceId instance) {
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
            String timeoutMessage(InstanceId instance) {
                return instance
                        + " did not become a voter in time; it needs a data folder, settings that"
                        + " list it as a voter on all voters, and there are at most 7 voters";
            }
        },
        ABSENT {
            @Override
            Optional<VoterChange.Action> nextAction(Membership members, InstanceId instance) {
                boolean isMember =
                        members.memberOf(instance, true).isPresent()
                                || members.memberOf(instance, false).isPresent();
                return isMember ? Optional.of(VoterChange.Action.REMOVE) : Optional.empty();
            }

            @Override
            String timeoutMessage(InstanceId instance) {
                return instance + " was not removed in time; the last voter cannot be removed";
            }
        };

        /** Returns the next action, or empty when the goal is reached. */
        abstract Optional<VoterChange.Action> nextAction(Membership members, InstanceId instance);

        /** Returns the error message for a goal that was not reached before the timeout. */
        abstract String timeoutMessage(InstanceId instance);

        /** Returns whether an instance is a replacement, which the leader promotes on its own. */
        static boolean isReplacement(Membership members, InstanceId instance) {
            return members.memberOf(instance, false)
                    .map(member -> member.kind() == MemberKind.REPLACEMENT)
                    .orElse(false);
        }
    }

    /**
     * A change in progress: takes one step after another until the goal is reached or the timeout
     * has passed. Confined to the loop.
     */
    private final class PendingChange {
        private final ReplicaService mLeader;
        private final Goal mGoal;
        private final InstanceId mInstance;
        private final long mDeadlineNanos;
        private final Responder mResponder;

        PendingChange(
                ReplicaService leader,
                Goal goal,
                InstanceId instance,
                long deadlineNanos,
                Responder responder) {
            mLeader = leader;
            mGoal = goal;
            mInstance = instance;
            mDeadlineNanos = deadlineNanos;
            mResponder = responder;
        }

        /** Takes the next step unless the operator has left, who may give other orders since. */
        void runNextStep() {
            mResponder
                    .checkConnected()
                    .thenAccept(
                            connected -> {
                                if (connected) {
                                    mLoop.execute(this::takeNextStep);
                                }
                            });
        }

        private void takeNextStep() {
            Membership members = mLeader.membership();
            Optional<VoterChange.Action> action = mGoal.nextAction(members, mInstance);
            if (action.isEmpty()) {
                mResponder.sendJson(STATUS_OK, votersJson(mLeader).toString());
                return;
            }
            if (action.get() == VoterChange.Action.PROMOTE
                    && Goal.isReplacement(members, mInstance)) {
                retryOrGiveUp();
                return;
            }
            mLeader.changeVoters(new VoterChange(action.get(), mInstance))
                    .completeOnTimeout(
                            ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null),
                            Math.max(MIN_STEP_TIMEOUT_MILLIS, remainingMillis()),
                            TimeUnit.MILLISECONDS)
                    .thenAccept(outcome -> mLoop.execute(() -> onProposalEnded(outcome)));
        }

        private long remainingMillis() {
            return TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mLoop.nowNanos());
        }

        private void onProposalEnded(ProposalOutcome outcome) {
            switch (outcome.status()) {
                case APPLIED -> onApplied();
                case NOT_LEADER -> sendNotLeader(outcome.leader(), mResponder);
                case UNKNOWN ->
                        mResponder.sendError(
                                ErrorKind.NO_QUORUM,
                                RunState.UNKNOWN,
                                "the change was not committed in time; list the voters before"
                                        + " trying again",
                                1_000);
                default -> retryOrGiveUp();
            }
        }

        /**
         * Continues after a committed step. A removal is complete then: the membership is not
         * checked again, since that of a leader which removed itself may be out of date.
         */
        private void onApplied() {
            if (mGoal == Goal.ABSENT) {
                mResponder.sendJson(STATUS_OK, votersJson(mLeader).toString());
                return;
            }
            runNextStep();
        }

        private void retryOrGiveUp() {
            long nowNanos = mLoop.nowNanos();
            if (nowNanos + RETRY_DELAY_NANOS - mDeadlineNanos >= 0) {
                mResponder.sendError(ErrorKind.NOT_READY, mGoal.timeoutMessage(mInstance), 1_000);
                return;
            }
            mLoop.scheduleAt(nowNanos + RETRY_DELAY_NANOS, this::runNextStep);
        }
    }
}
