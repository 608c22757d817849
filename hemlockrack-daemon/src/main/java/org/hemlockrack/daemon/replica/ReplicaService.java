package org.hemlockrack.daemon.replica;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ConcurrentLinkedQueue;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
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
import org.hemlockrack.consensus.ReplicaStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.consensus.VoterChange;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Runs the consensus replica of this instance on a loop of its own. Events that arrive during a
 * disk sync are handled afterwards as one batch, which shares the next sync. Public methods may be
 * called from any thread.
 */
public final class ReplicaService implements AutoCloseable {
    /** Pause before the first try to open the storage again after a failure. */
    private static final long FIRST_RETRY_MILLIS = 100;

    /** Longest pause between two tries. */
    private static final long MAX_RETRY_MILLIS = 1_000;

    /** Longest time that a stop waits for a write to a disk that does not answer. */
    private static final long CLOSE_TIMEOUT_MILLIS = 2_000;

    /** Time between two lines that describe a cluster without a leader or with a member behind. */
    private static final long STATUS_PERIOD_MILLIS = 1_000;

    /** Opens the storage of a replica again after it has failed. */
    @FunctionalInterface
    public interface Reopener {
        /**
         * Opens the storage and starts the replica anew.
         *
         * @param failed the replica whose storage has failed; closed
         * @return the replica, with the state of the failed one
         * @throws HemlockrackException if the storage still fails; its files are closed then
         */
        ReplicaNode reopen(ReplicaNode failed);
    }

    private final EventLoop mLoop;
    private final Reopener mReopener;
    private ReplicaNode mNode;
    private final Consumer<Packet> mPacketSender;
    private final EventLog mLog;
    private final Runnable mAfterStep;
    private final ConcurrentLinkedQueue<ConsensusEvent> mEvents = new ConcurrentLinkedQueue<>();
    private final AtomicBoolean mStepScheduled = new AtomicBoolean();
    private final AtomicLong mNextTicket = new AtomicLong();
    private final Map<Long, CompletableFuture<ProposalOutcome>> mPendingProposals =
            new ConcurrentHashMap<>();

    /** Results that the current step has produced. */
    private final List<Result> mResults = new ArrayList<>();

    private final Outputs mOutputs = new Outputs();

    private @Nullable ScheduledFuture<?> mTimer;
    private volatile @Nullable InstanceId mLeader;
    private volatile Role mRole = Role.FOLLOWER;
    private volatile long mTerm;
    private volatile long mSettledTerm;
    private volatile Membership mMembership = Membership.NONE;
    private volatile boolean mVoter;
    private boolean mCaughtUp;
    private long mStatusDueNanos;
    private volatile boolean mSuspended;
    private long mRetryMillis = FIRST_RETRY_MILLIS;
    private volatile boolean mStopped;

    private ReplicaService(
            EventLoop loop,
            ReplicaNode node,
            Reopener reopener,
            Consumer<Packet> transport,
            EventLog log,
            Runnable afterStep) {
        mLoop = loop;
        mNode = node;
        mReopener = reopener;
        mPacketSender = transport;
        mLog = log;
        mAfterStep = afterStep;
    }

    /**
     * Starts running a replica.
     *
     * @param loop dedicated loop, because it blocks on the disk
     * @param node the replica
     * @param reopener opens its storage again after a failure
     * @param transport sends packets; must not block
     * @param log the event log
     * @param afterStep runs on the loop after each batch, to publish the applied state; not called
     *     before the state includes all entries that were committed before the start
     * @return the service
     */
    public static ReplicaService start(
            EventLoop loop,
            ReplicaNode node,
            Reopener reopener,
            Consumer<Packet> transport,
            EventLog log,
            Runnable afterStep) {
        ReplicaService service =
                new ReplicaService(loop, node, reopener, transport, log, afterStep);
        long nowNanos = loop.nowNanos();
        service.postponeStatus(nowNanos);
        log.log(LogEvent.REPLICA_STARTED, "%s", node.consensus().status(nowNanos).describe());
        service.scheduleStep();
        return service;
    }

    /** Returns the current leader, or null if none is known. */
    public @Nullable InstanceId leader() {
        return mLeader;
    }

    /**
     * Returns whether this replica is a voter. An instance whose disk was damaged rejoins as a new
     * replica, which is not a voter although the earlier replica of the instance may still be.
     */
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

    /**
     * Returns the current term, if the whole log is durable and ends with an entry of that term; 0
     * otherwise. Then this replica has not voted for a leader that its log does not come from.
     */
    public long settledTerm() {
        return mSettledTerm;
    }

    /** Returns the membership in the log of this replica; only the leader's is up to date. */
    public Membership membership() {
        return mMembership;
    }

    /** Handles a packet of another replica. */
    public void receive(Packet packet) {
        if (mSuspended) {
            return;
        }
        post(new ConsensusEvent.Received(packet));
    }

    /**
     * Proposes a command.
     *
     * @param command the command
     * @return completes once the command is applied, or once the replica stops tracking it; then
     *     the status says whether it may still be applied
     */
    public CompletableFuture<ProposalOutcome> propose(byte[] command) {
        return submit(
                ticket -> new ConsensusEvent.Propose(ticket, command, System.currentTimeMillis()));
    }

    /**
     * Waits until the local state includes every command that was acknowledged before this call, so
     * that it can be read linearizably.
     *
     * @return completes with an empty result when the state is up to date
     */
    public CompletableFuture<ProposalOutcome> readIndex() {
        return submit(ConsensusEvent.ReadIndex::new);
    }

    /**
     * Replaces the instances, beside the members, to which this replica announces itself while it
     * has no leader.
     */
    public void setContacts(List<InstanceId> instances) {
        post(new ConsensusEvent.ContactsChanged(instances));
    }

    /**
     * Changes the voters.
     *
     * @param change the change
     * @return completes once it is committed or refused
     */
    public CompletableFuture<ProposalOutcome> changeVoters(VoterChange change) {
        return submit(ticket -> new ConsensusEvent.ChangeVoters(ticket, change));
    }

    private record Result(CompletableFuture<ProposalOutcome> future, ProposalOutcome outcome) {}

    /** Builds an event for a ticket. */
    private interface EventFactory {
        ConsensusEvent create(long ticket);
    }

    private CompletableFuture<ProposalOutcome> submit(EventFactory factory) {
        CompletableFuture<ProposalOutcome> future = new CompletableFuture<>();
        if (mStopped || mSuspended) {
            future.complete(ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, null));
            return future;
        }
        long ticket = mNextTicket.incrementAndGet();
        // Registered before the event: a step that is already queued may complete the proposal.
        mPendingProposals.put(ticket, future);
        post(factory.create(ticket));
        return future;
    }

    private void post(ConsensusEvent event) {
        mEvents.add(event);
        scheduleStep();
    }

    private void scheduleStep() {
        if (mStepScheduled.compareAndSet(false, true)) {
            mLoop.execute(this::step);
        }
    }

    private void step() {
        mStepScheduled.set(false);
        if (mStopped || mSuspended) {
            return;
        }
        mSettledTerm = 0;
        List<ConsensusEvent> batch = new ArrayList<>();
        ConsensusEvent event = mEvents.poll();
        while (event != null) {
            batch.add(event);
            event = mEvents.poll();
        }
        try {
            handle(batch);
        } catch (RuntimeException | Error e) {
            stopAfterFailure(e);
        }
    }

    private void handle(List<ConsensusEvent> batch) {
        try {
            mNode.step(mLoop.nowNanos(), batch, mOutputs);
        } catch (HemlockrackException e) {
            if (!isStorageFailure(e)) {
                throw e;
            }
            publishState();
            suspend(e);
            return;
        }
        publishMembership();
        mRetryMillis = FIRST_RETRY_MILLIS;
        Consensus consensus = mNode.consensus();
        mSettledTerm = consensus.lastTerm() == consensus.term() ? consensus.term() : 0;
        // A learner may have received only the first part of a log that has one term.
        mCaughtUp |= hasAppliedCurrentTerm() && (mVoter || consensus.hasCommittedAsLeader());
        publishState();
        logStatusIfDue();
        rescheduleTimer();
    }

    /** Logs what explains an election that does not end, or a change of voters that waits. */
    private void logStatusIfDue() {
        long nowNanos = mLoop.nowNanos();
        if (nowNanos - mStatusDueNanos < 0) {
            return;
        }
        postponeStatus(nowNanos);
        ReplicaStatus status = mNode.consensus().status(nowNanos);
        if (status.leader() == null) {
            mLog.log(LogEvent.LEADER_MISSING, "%s", status.describe());
        } else if (status.role() == Role.LEADER && status.hasMemberBehind(STATUS_PERIOD_MILLIS)) {
            mLog.log(LogEvent.MEMBER_BEHIND, "%s", status.describe());
        }
    }

    private void postponeStatus(long nowNanos) {
        mStatusDueNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(STATUS_PERIOD_MILLIS);
    }

    private static boolean isStorageFailure(HemlockrackException e) {
        return e.kind() == ErrorKind.STORAGE_FAILED || e.kind() == ErrorKind.STORAGE_DAMAGED;
    }

    /**
     * Publishes the applied state, then completes the results of the step, so that whoever waited
     * for a result does not read an older state.
     */
    private void publishState() {
        if (mCaughtUp) {
            mAfterStep.run();
        }
        completeResults();
    }

    private void completeResults() {
        mResults.forEach(result -> result.future().complete(result.outcome()));
        mResults.clear();
    }

    /**
     * Returns whether the whole log is committed and ends with an entry of the current term. After
     * a restart the state is rebuilt through all earlier versions; only from then on does it
     * include everything that it included before the restart.
     */
    private boolean hasAppliedCurrentTerm() {
        Consensus consensus = mNode.consensus();
        return consensus.lastTerm() == consensus.term()
                && consensus.commitIndex() == consensus.lastIndex();
    }

    /**
     * Leaves votes and leadership after a failed write, as it is unknown which data is on the disk,
     * and tries to open the storage again until that succeeds. Pending proposals end with an
     * unknown outcome.
     */
    private void suspend(HemlockrackException cause) {
        mSuspended = true;
        endParticipation();
        mLog.log(
                LogEvent.REPLICA_SUSPENDED,
                cause,
                "the replica is suspended: %s",
                cause.getMessage());
        closeNode();
        scheduleReopening();
    }

    private void scheduleReopening() {
        mLoop.scheduleAt(
                mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(mRetryMillis), this::reopen);
        mRetryMillis = Math.min(2 * mRetryMillis, MAX_RETRY_MILLIS);
    }

    private void reopen() {
        if (mStopped) {
            return;
        }
        try {
            mNode = mReopener.reopen(mNode);
        } catch (HemlockrackException e) {
            if (canPass(e)) {
                scheduleReopening();
            } else {
                stopAfterFailure(e);
            }
            return;
        } catch (RuntimeException | Error e) {
            stopAfterFailure(e);
            return;
        }
        mLog.log(LogEvent.REPLICA_RESUMED, "the replica takes part again");
        mSuspended = false;
        scheduleStep();
    }

    /** Returns whether a later try to open the files can succeed. */
    private static boolean canPass(HemlockrackException e) {
        return e.kind() == ErrorKind.STORAGE_FAILED || e.kind() == ErrorKind.NOT_READY;
    }

    /**
     * Ends the replica, because it is unknown in which state it is, and reports the cause as if it
     * had ended the thread. A process ends then, and the next one reads the state from the disk; a
     * process that goes on would stay a voter that never answers. Results whose state was not
     * published end with an unknown outcome.
     */
    private void stopAfterFailure(Throwable cause) {
        mStopped = true;
        ProposalOutcome unknown = ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null);
        mResults.forEach(result -> result.future().complete(unknown));
        mResults.clear();
        endParticipation();
        mLog.log(LogEvent.INTERNAL_FAULT, cause, "the replica stopped: %s", cause);
        Thread thread = Thread.currentThread();
        thread.getUncaughtExceptionHandler().uncaughtException(thread, cause);
    }

    private void endParticipation() {
        mRole = Role.FOLLOWER;
        mLeader = null;
        mCaughtUp = false;
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        for (CompletableFuture<ProposalOutcome> proposal : mPendingProposals.values()) {
            proposal.complete(ProposalOutcome.notApplied(ProposalStatus.UNKNOWN, null));
        }
        mPendingProposals.clear();
    }

    private void closeNode() {
        try {
            mNode.close();
        } catch (HemlockrackException e) {
            mLog.log(LogEvent.REPLICA_SUSPENDED, e, "%s", e.getMessage());
        }
    }

    /**
     * Publishes the membership. Called before a role or an outcome is published, so that a reader
     * of those does not see an older membership.
     */
    private void publishMembership() {
        Membership membership = mNode.consensus().membership();
        mVoter = membership.isVoter(mNode.replicaId());
        mMembership = membership;
    }

    private void rescheduleTimer() {
        if (mTimer != null) {
            mTimer.cancel(false);
        }
        long atNanos = mNode.nextTimerNanos();
        mTimer = atNanos == Decider.NO_TIMER ? null : mLoop.scheduleAt(atNanos, this::scheduleStep);
    }

    private void completeProposal(long ticket, ProposalOutcome outcome) {
        CompletableFuture<ProposalOutcome> future = mPendingProposals.remove(ticket);
        if (future != null) {
            mResults.add(new Result(future, outcome));
        }
    }

    private final class Outputs implements NodeOutputs {
        @Override
        public void send(Packet packet) {
            mPacketSender.accept(packet);
        }

        @Override
        public void proposalApplied(long ticket, long index, byte[] result) {
            completeProposal(ticket, ProposalOutcome.applied(result));
        }

        @Override
        public void proposalEnded(long ticket, ProposalStatus status, @Nullable InstanceId leader) {
            publishMembership();
            completeProposal(ticket, ProposalOutcome.notApplied(status, leader));
        }

        @Override
        public void readReady(long ticket, long index) {
            completeProposal(ticket, ProposalOutcome.applied(new byte[0]));
        }

        @Override
        public void readFailed(long ticket, @Nullable InstanceId leader) {
            completeProposal(ticket, ProposalOutcome.notApplied(ProposalStatus.NOT_LEADER, leader));
        }

        @Override
        public void roleChanged(Role role, long term, @Nullable InstanceId leader) {
            boolean changed = leader == null ? mLeader != null : !leader.equals(mLeader);
            publishMembership();
            mRole = role;
            mTerm = term;
            mLeader = leader;
            if (!changed) {
                return;
            }
            long nowNanos = mLoop.nowNanos();
            postponeStatus(nowNanos);
            String status = mNode.consensus().status(nowNanos).describe();
            mLog.log(LogEvent.LEADER_CHANGED, "term %d leader %s: %s", term, leader, status);
        }

        @Override
        public void snapshotFailed(HemlockrackException cause) {
            mLog.log(LogEvent.SNAPSHOT_FAILED, "%s", cause.getMessage());
        }
    }

    @Override
    public void close() {
        try {
            mLoop.submit(this::stop).orTimeout(CLOSE_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS).join();
        } catch (RuntimeException e) {
            // What was not synced was not acknowledged either.
            mLog.log(LogEvent.INTERNAL_FAULT, e, "the replica did not close: %s", e);
        }
        mLoop.close();
    }

    private boolean stop() {
        mStopped = true;
        if (!mSuspended) {
            mNode.close();
        }
        return true;
    }
}
