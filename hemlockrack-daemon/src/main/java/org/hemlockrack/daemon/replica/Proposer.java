package org.hemlockrack.daemon.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.ProposeReply;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.ProposeStatus;
import org.jspecify.annotations.Nullable;

/**
 * Sends commands to the leader of the replicated log, with retries. A retry can append a command
 * more than once; the state machines detect duplicates. Safe for use from any thread.
 */
public final class Proposer {
    private static final long RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time for the reply of a leader that has waited for a majority until the timeout. */
    private static final long REPLY_DELAY_MILLIS = 200;

    private final EventLoop mLoop;
    private final InstanceId mSelf;
    private final Supplier<Map<InstanceId, String>> mVoters;
    private final PeerNetwork mNetwork;
    private final @Nullable ReplicaService mLocal;

    private volatile @Nullable InstanceId mLeader;

    private Proposer(
            EventLoop loop,
            InstanceId self,
            Supplier<Map<InstanceId, String>> voters,
            PeerNetwork network,
            @Nullable ReplicaService local) {
        mLoop = loop;
        mSelf = self;
        mVoters = voters;
        mNetwork = network;
        mLocal = local;
    }

    /**
     * Creates a proposer.
     *
     * @param loop loop that schedules retries
     * @param self this instance
     * @param voters supplies the current voters and their peer addresses
     * @param network connections to other instances
     * @param local the replica of this instance, or null if it has none
     * @return the proposer
     */
    public static Proposer create(
            EventLoop loop,
            InstanceId self,
            Supplier<Map<InstanceId, String>> voters,
            PeerNetwork network,
            @Nullable ReplicaService local) {
        return new Proposer(loop, self, voters, network, local);
    }

    /** Returns the last known leader, or null. */
    public @Nullable InstanceId leader() {
        return mLocal == null ? mLeader : mLocal.leader();
    }

    /** Returns whether the replica of this instance is a voter. */
    public boolean isVoter() {
        return mLocal != null && mLocal.isVoter();
    }

    /**
     * Proposes a command and retries until a timeout.
     *
     * @param command the command
     * @param timeoutMillis time after which no retry is started
     * @return completes with APPLIED and the result, with NOT_LEADER if the command was certainly
     *     not appended to the log, or with UNKNOWN if it may have been
     */
    public CompletableFuture<ProposalOutcome> propose(byte[] command, long timeoutMillis) {
        Proposal proposal = new Proposal(command, timeoutMillis);
        proposal.sendToTarget();
        return proposal.mFuture;
    }

    private final class Proposal {
        private final byte[] mCommand;
        private final long mDeadlineNanos;
        private final CompletableFuture<ProposalOutcome> mFuture = new CompletableFuture<>();
        private boolean mMayBeAppended;
        private int mTries;

        Proposal(byte[] command, long timeoutMillis) {
            mCommand = command;
            mDeadlineNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        }

        void sendToTarget() {
            InstanceId target = nextTarget();
            if (target == null) {
                mFuture.complete(ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, null));
                return;
            }
            long remainingMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mLoop.nowNanos());
            if (target.equals(mSelf) && mLocal != null) {
                mLocal.propose(mCommand)
                        .completeOnTimeout(
                                ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null),
                                Math.max(1, remainingMillis),
                                TimeUnit.MILLISECONDS)
                        .thenAccept(this::onOutcome);
                return;
            }
            ProposeRequest request = new ProposeRequest();
            request.setSender(mSelf.value());
            request.setCommand(mCommand);
            request.setTimeoutMillis(Math.max(1, remainingMillis));
            mNetwork.callAsync(mVoters.get().get(target), client -> client.propose(request))
                    .copy()
                    .orTimeout(
                            Math.max(1, remainingMillis) + REPLY_DELAY_MILLIS,
                            TimeUnit.MILLISECONDS)
                    .whenComplete((reply, failure) -> onReply(reply, failure));
        }

        /**
         * Returns the voter to send the command to, or null if there are no voters. Even tries go
         * to the last known leader; odd tries, and all tries while the leader is unknown, go to the
         * voters in turn, because the known leader may be outdated.
         */
        private @Nullable InstanceId nextTarget() {
            InstanceId leader = leader();
            if (mTries == 0 && leader != null && mVoters.get().containsKey(leader)) {
                return leader;
            }
            List<InstanceId> all = new ArrayList<>(mVoters.get().keySet());
            if (all.isEmpty()) {
                return null;
            }
            if (leader != null && mTries % 2 == 0 && mVoters.get().containsKey(leader)) {
                return leader;
            }
            all.sort(null);
            return all.get(mTries % all.size());
        }

        private void onReply(@Nullable ProposeReply reply, @Nullable Throwable failure) {
            if (reply == null || failure != null) {
                // Without a reply it is unknown whether the command was appended.
                onOutcome(ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null));
                return;
            }
            InstanceId leader = reply.isSetLeader() ? InstanceId.of(reply.getLeader()) : null;
            if (reply.getStatus() == ProposeStatus.APPLIED) {
                onOutcome(ProposalOutcome.applied(reply.getResult()));
                return;
            }
            boolean mayBeAppended = reply.getStatus() == ProposeStatus.UNKNOWN;
            onOutcome(
                    ProposalOutcome.notApplied(
                            mayBeAppended ? ProposalStatus.UNKNOWN : ProposalStatus.NOT_LEADER,
                            leader));
        }

        private void onOutcome(ProposalOutcome outcome) {
            if (outcome.status() == ProposalStatus.APPLIED) {
                mFuture.complete(outcome);
                return;
            }
            mMayBeAppended |= outcome.status() == ProposalStatus.UNKNOWN;
            mLeader = outcome.leader();
            mTries++;
            long nowNanos = mLoop.nowNanos();
            if (nowNanos + RETRY_DELAY_NANOS - mDeadlineNanos >= 0) {
                ProposalStatus status =
                        mMayBeAppended ? ProposalStatus.UNKNOWN : ProposalStatus.NOT_LEADER;
                mFuture.complete(ProposalOutcome.notApplied(status, outcome.leader()));
                return;
            }
            mLoop.scheduleAt(nowNanos + RETRY_DELAY_NANOS, this::sendToTarget);
        }
    }
}
