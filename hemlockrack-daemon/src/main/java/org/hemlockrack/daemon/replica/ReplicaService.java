package org.hemlockrack.daemon.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;
import org.hemlockrack.consensus.Consensus;
import org.hemlockrack.consensus.ConsensusEvent;
import org.hemlockrack.consensus.Membership;
import org.hemlockrack.consensus.NodeOutputs;
import org.hemlockrack.consensus.Packet;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.ReplicaNode;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Drives the replica of this voter on a loop of its own. Events that arrive while a sync runs are
 * handled as one batch after it. Public methods may be called from any thread.
 */
public final class ReplicaService implements AutoCloseable {
    private final Loop mLoop;
    private final long mReplicaId;
    private final ReplicaNode mNode;
    private final Consumer<Packet> mTransport;
    private final EventLog mLog;
    private final Runnable mAfterStep;
    private final ConcurrentLinkedQueue<ConsensusEvent> mEvents = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mScheduled = new AtomicBoolean();
    private final AtomicLong mNextTicket = new AtomicLong();
    private final Map<Long, CompletableFuture<ProposalOutcome>> mProposals =
            new ConcurrentHashMap<>();
    private final Outputs mOutputs = new Outputs();

    private @Nullable ScheduledFuture<?> mTimer;
    private volatile @Nullable InstanceId mLeader;
    private volatile Role mRole = Role.FOLLOWER;
    private volatile long mTerm;
    private volatile Membership mMembership = Membership.NONE;
    private volatile boolean mVoter;
    private boolean mCaughtUp;
    private volatile boolean mFailed;

    private ReplicaService(
            Loop loop,
            long replicaId,
            ReplicaNode node,
            Consumer<Packet> transport,
            EventLog log,
            Runnable afterStep) {
        mLoop = loop;
        mReplicaId = replicaId;
        mNode = node;
        mTransport = transport;
        mLog = log;
        mAfterStep = afterStep;
    }

    /**
     * Starts driving a replica.
     *
     * @param loop loop of its own, because it waits for the disk
     * @param replicaId id of the replica
     * @param node the replica
     * @param transport sends packets; must not block
     * @param log the log
     * @param afterStep runs on the loop after each batch, to publish what the state holds; not
     *     before the state has caught up with what was committed before the start
     * @return the service
     */
    public static ReplicaService start(
            Loop loop,
            long replicaId,
            ReplicaNode node,
            Consumer<Packet> transport,
            EventLog log,
            Runnable afterStep) {
        ReplicaService service =
                new ReplicaService(loop, replicaId, node, transport, log, afterStep);
        service.schedule();
        return service;
    }

    /** Returns the instance that leads, or null if none is known. */
    public @Nullable InstanceId leader() {
        return mLeader;
    }

    /** Returns whether this replica, not only an earlier one of the instance, is a voter. */
    public boolean isVoter() {
        return mVoter;
    }

    /** Returns the role of this replica. */
    public Role role() {
        return mRole;
    }

    /** Returns the current term. */
    public long term() {
        return mTerm;
    }

    /** Returns the members in force here, which are up to date on the leader only. */
    public Membership membership() {
        return mMembership;
    }

    /** Takes a packet of another replica. */
    public void receive(Packet packet) {
        post(new ConsensusEvent.Received(packet));
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return completes once it is applied or ended otherwise
     */
    public CompletableFuture<ProposalOutcome> propose(byte[] command) {
        return open(
                ticket -> new ConsensusEvent.Propose(ticket, command, System.currentTimeMillis()));
    }

    /**
     * Waits until the state holds everything acknowledged before.
     *
     * @return completes with an empty result when a read of the state is up to date
     */
    public CompletableFuture<ProposalOutcome> readIndex() {
        return open(ConsensusEvent.ReadIndex::new);
    }

    /**
     * Changes the voters.
     *
     * @param change the change
     * @return completes once it is committed or refused
     */
    public CompletableFuture<ProposalOutcome> changeVoters(VoterChange change) {
        return open(ticket -> new ConsensusEvent.ChangeVoters(ticket, change));
    }

    /** Builds an event for a ticket. */
    private interface EventFactory {
        ConsensusEvent create(long ticket);
    }

    private CompletableFuture<ProposalOutcome> open(EventFactory factory) {
        CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
        if (mFailed) {
            future.complete(ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, null));
            return future;
        }
        long ticket = mNextTicket.incrementAndGet();
        // A step that is already queued may take the event, so the future must be known before.
        mProposals.put(ticket, future);
        post(factory.create(ticket));
        return future;
    }

    private void post(ConsensusEvent event) {
        mEvents.add(event);
        schedule();
    }

    private void schedule() {
        if (mScheduled.compareAndSet(false, true)) {
            mLoop.execute(this::step);
        }
    }

    private void step() {
        mScheduled.set(false);
        if (mFailed) {
            return;
        }
        List<ConsensusEvent> batch = new ArrayList<>();
        ConsensusEvent event = mEvents.poll();
        while (event != null) {
            batch.add(event);
            event = mEvents.poll();
        }
        try {
            mNode.step(mLoop.nowNanos(), batch, mOutputs);
            refreshMembership();
        } catch (RuntimeException e) {
            fail(e);
            return;
        }
        mVoter = mNode.consensus().membership().isVoter(mReplicaId);
        mCaughtUp |= mVoter && hasAppliedCurrentTerm();
        if (mCaughtUp) {
            mAfterStep.run();
        }
        arm();
    }

    /**
     * After a restart the state goes through all old versions again. It holds everything that it
     * held before once the whole log is committed up to an entry of the current term.
     */
    private boolean hasAppliedCurrentTerm() {
        Consensus consensus = mNode.consensus();
        return consensus.lastTerm() == consensus.term()
                && consensus.commitIndex() == consensus.lastIndex();
    }

    /** What reached the disk is not known after a failed write, so the replica must stop. */
    private void fail(RuntimeException cause) {
        mFailed = true;
        mLeader = null;
        mLog.log(LogEvent.STORAGE_REFUSED, cause, "the replica stopped: %s", cause.getMessage());
        for (CompletableFuture<ProposalOutcome> waiting : mProposals.values()) {
            waiting.complete(ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null));
        }
        mProposals.clear();
    }

    /** Runs before a role or an outcome is published, so that nobody sees older members then. */
    private void refreshMembership() {
        mMembership = mNode.consensus().membership();
    }

    private void arm() {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        long atNanos = mNode.nextTimerNanos();
        mTimer = atNanos == Decider.NO_TIMER ? null : mLoop.schedule(atNanos, this::schedule);
    }

    private void complete(long ticket, ProposalOutcome outcome) {
        CompletableFuture<ProposalOutcome> future = mProposals.remove(ticket);
        if (future != null) {
            future.complete(outcome);
        }
    }

    private final class Outputs implements NodeOutputs {
        @Override
        public void send(Packet packet) {
            mTransport.accept(packet);
        }

        @Override
        public void proposalApplied(long ticket, long index, byte[] result) {
            complete(ticket, ProposalOutcome.applied(result));
        }

        @Override
        public void proposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader) {
            refreshMembership();
            complete(ticket, ProposalOutcome.notApplied(status, leader));
        }

        @Override
        public void readReady(long ticket, long index) {
            complete(ticket, ProposalOutcome.applied(new byte[0]));
        }

        @Override
        public void readFailed(long ticket, @Nullable InstanceId leader) {
            complete(ticket, ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, leader));
        }

        @Override
        public void roleChanged(Role role, long term, @Nullable InstanceId leader) {
            boolean changed = leader == null ? mLeader != null : !leader.equals(mLeader);
            refreshMembership();
            mRole = role;
            mTerm = term;
            mLeader = leader;
            if (changed) {
                mLog.log(LogEvent.LEADER_CHANGED, "term %d leader %s", term, leader);
            }
        }
    }

    @Override
    public void close() {
        try {
            mLoop.submit(
                            () -> {
                                mFailed = true;
                                mNode.close();
                                return true;
                            })
                    .join();
        } catch (RuntimeException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "the replica did not close", e);
        }
        mLoop.close();
    }
}
