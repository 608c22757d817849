package org.hemlockrack.daemon.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Supplier;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.ProposeReply;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.ProposeStatus;
import org.jspecify.annotations.Nullable;

/**
 * Brings commands to the leader of the replicated log. A command may reach the log more than once;
 * all states recognise repeats. Safe for use from any thread.
 */
public final class Proposer {
    private static final long RETRY_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    private final Loop mLoop;
    private final InstanceId mSelf;
    private final Supplier<Map<InstanceId, String>> mVoters;
    private final PeerNetwork mNetwork;
    private final @Nullable ReplicaService mLocal;

    private volatile @Nullable InstanceId mLeader;

    private Proposer(
            Loop loop,
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
     * @param loop runs retries
     * @param self this instance
     * @param voters peer addresses of the voters at any moment
     * @param network connections to other instances
     * @param local the replica of this instance, or null
     * @return the proposer
     */
    public static Proposer create(
            Loop loop,
            InstanceId self,
            Supplier<Map<InstanceId, String>> voters,
            PeerNetwork network,
            @Nullable ReplicaService local) {
        return new Proposer(loop, self, voters, network, local);
    }

    /** Returns the instance that this instance believes to lead, or null. */
    public @Nullable InstanceId leader() {
        return mLocal == null ? mLeader : mLocal.leader();
    }

    /** Returns whether the replica of this instance is a voter. */
    public boolean isVoter() {
        return mLocal != null && mLocal.isVoter();
    }

    /**
     * Proposes a command and retries until a time.
     *
     * @param command the command
     * @param timeoutMillis when to give up
     * @return completes with APPLIED and the result, with NOT_LEADER if the command was surely not
     *     appended, or with UNKNOWN
     */
    public CompletableFuture<ProposalOutcome> propose(byte[] command, long timeoutMillis) {
        Proposal proposal = new Proposal(command, timeoutMillis);
        proposal.attempt();
        return proposal.mFuture;
    }

    private final class Proposal {
        private final byte[] mCommand;
        private final long mDeadlineNanos;
        private final CompletableFuture<ProposalOutcome> mFuture = new CompletableFuture<>();
        private boolean mMayBeAppended;
        private int mRound;

        Proposal(byte[] command, long timeoutMillis) {
            mCommand = command;
            mDeadlineNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
        }

        void attempt() {
            InstanceId target = target();
            if (target == null) {
                mFuture.complete(ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, null));
                return;
            }
            long leftMillis = TimeUnit.NANOSECONDS.toMillis(mDeadlineNanos - mLoop.nowNanos());
            if (target.equals(mSelf) && mLocal != null) {
                mLocal.propose(mCommand)
                        .completeOnTimeout(
                                ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null),
                                Math.max(1, leftMillis),
                                TimeUnit.MILLISECONDS)
                        .thenAccept(this::answered);
                return;
            }
            ProposeRequest request = new ProposeRequest();
            request.setSender(mSelf.value());
            request.setCommand(mCommand);
            request.setTimeoutMillis(Math.max(1, leftMillis));
            mNetwork.ask(mVoters.get().get(target), client -> client.propose(request))
                    .whenComplete((reply, fault) -> replied(reply, fault));
        }

        private @Nullable InstanceId target() {
            InstanceId leader = leader();
            if (mRound == 0 && leader != null && mVoters.get().containsKey(leader)) {
                return leader;
            }
            List<InstanceId> all = new ArrayList<>(mVoters.get().keySet());
            if (all.isEmpty()) {
                return null;
            }
            if (leader != null && mRound % 2 == 0 && mVoters.get().containsKey(leader)) {
                return leader;
            }
            all.sort(null);
            return all.get(mRound % all.size());
        }

        private void replied(@Nullable ProposeReply reply, @Nullable Throwable fault) {
            if (reply == null || fault != null) {
                // A reply that was lost does not tell whether the command was appended.
                answered(ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null));
                return;
            }
            InstanceId leader = reply.isSetLeader() ? InstanceId.of(reply.getLeader()) : null;
            if (reply.getStatus() == ProposeStatus.APPLIED) {
                answered(ProposalOutcome.applied(reply.getResult()));
                return;
            }
            boolean unknown = reply.getStatus() == ProposeStatus.UNKNOWN;
            answered(
                    ProposalOutcome.notApplied(
                            unknown ? ProposalStatus.UNKNOWN : ProposalStatus.NOT_LEADER, leader));
        }

        private void answered(ProposalOutcome outcome) {
            if (outcome.status() == ProposalStatus.APPLIED) {
                mFuture.complete(outcome);
                return;
            }
            mMayBeAppended |= outcome.status() == ProposalStatus.UNKNOWN;
            mLeader = outcome.leader();
            mRound++;
            long nowNanos = mLoop.nowNanos();
            if (nowNanos + RETRY_PAUSE_NANOS - mDeadlineNanos >= 0) {
                ProposalStatus status =
                        mMayBeAppended ? ProposalStatus.UNKNOWN : ProposalStatus.NOT_LEADER;
                mFuture.complete(ProposalOutcome.notApplied(status, outcome.leader()));
                return;
            }
            mLoop.schedule(nowNanos + RETRY_PAUSE_NANOS, this::attempt);
        }
    }
}
