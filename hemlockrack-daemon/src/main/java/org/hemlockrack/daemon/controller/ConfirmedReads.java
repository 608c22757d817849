package org.hemlockrack.daemon.controller;

import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.function.Supplier;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.control.WaitingReads;
import org.hemlockrack.control.WaitingReads.Leader;
import org.hemlockrack.control.WaitingReads.Outcome;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.sync.ConfirmedTime;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.jspecify.annotations.Nullable;

/**
 * Reads of the committed state by operators. A read waits until the state of this controller is
 * confirmed to hold everything that was committed when the read arrived, and goes to the leader if
 * that takes too long. Public methods may be called from any thread.
 */
public final class ConfirmedReads {
    private final EventLoop mLoop;
    private final InstanceId mSelf;
    private final ReplicaService mReplica;
    private final ConfirmedTime mConfirmed;
    private final Supplier<@Nullable ControlView> mCommittedView;

    /** The waiting reads. Confined to the loop. */
    private final WaitingReads<Read<?>> mWaiting = WaitingReads.create();

    /** Starts an exchange with a controller early. Called on the loop. */
    private volatile Consumer<InstanceId> mExchange = controller -> {};

    /** The document that the reads which end together share. Confined to the loop. */
    private byte @Nullable [] mDocument;

    /**
     * The answer to a read.
     *
     * @param leader the controller that the caller is to ask instead, or null
     * @param value what was read, if there is no other controller to ask
     * @param <T> type of the value
     */
    public record Answer<T>(@Nullable InstanceId leader, @Nullable T value) {}

    private record Read<T>(
            Function<ControlView, @Nullable T> reader, CompletableFuture<Answer<T>> future) {
        void serve(ControlView view) {
            try {
                future.complete(new Answer<>(null, reader.apply(view)));
            } catch (HemlockrackException e) {
                future.completeExceptionally(e);
            }
        }
    }

    private ConfirmedReads(
            EventLoop loop,
            InstanceId self,
            ReplicaService replica,
            ConfirmedTime confirmed,
            Supplier<@Nullable ControlView> committedView) {
        mLoop = loop;
        mSelf = self;
        mReplica = replica;
        mConfirmed = confirmed;
        mCommittedView = committedView;
    }

    /**
     * Creates an instance without waiting reads.
     *
     * @param confirmed what is known of the state of this controller
     * @param committedView returns the newest view, or null until one was committed
     */
    static ConfirmedReads create(
            EventLoop loop,
            InstanceId self,
            ReplicaService replica,
            ConfirmedTime confirmed,
            Supplier<@Nullable ControlView> committedView) {
        return new ConfirmedReads(loop, self, replica, confirmed, committedView);
    }

    /**
     * Sets what starts an exchange with the leader early, while reads wait. The exchanges of a
     * large fleet are 800 ms apart otherwise.
     */
    void setExchange(Consumer<InstanceId> exchange) {
        mExchange = exchange;
    }

    /**
     * Reads the newest route table.
     *
     * @param caller the caller; the read ends when it leaves
     * @return a future that completes with the table as it was published
     */
    public CompletableFuture<Answer<byte[]>> readTable(Responder caller) {
        return read(caller, this::document);
    }

    /**
     * Reads the newest move of a service.
     *
     * @param service the service
     * @param caller the caller; the read ends when it leaves
     * @return a future that completes with the move, or without a value if there was none
     */
    public CompletableFuture<Answer<TrafficMove>> readMove(ServiceId service, Responder caller) {
        return read(caller, view -> view.overrides().move(service));
    }

    private byte[] document(ControlView view) {
        if (view.tableVersion() == 0) {
            throw HemlockrackException.of(ErrorKind.NOT_READY, "no route table was published yet");
        }
        byte[] document = mDocument;
        if (document == null) {
            document = Deflate.inflate(view.deflatedTable());
            mDocument = document;
        }
        return document;
    }

    private <T> CompletableFuture<Answer<T>> read(
            Responder caller, Function<ControlView, @Nullable T> reader) {
        Read<T> read = new Read<>(reader, new CompletableFuture<>());
        mLoop.execute(() -> start(read, caller));
        return read.future();
    }

    private void start(Read<?> read, Responder caller) {
        long nowNanos = mLoop.nowNanos();
        Leader leader = leader();
        Outcome outcome = mWaiting.add(nowNanos, read, leader, mCommittedView.get() != null);
        if (outcome != null) {
            end(read, outcome, null);
            return;
        }
        caller.onCancel(() -> mLoop.execute(() -> cancel(read)));
        mLoop.scheduleAt(nowNanos + WaitingReads.MAX_WAIT_NANOS, this::update);
        mLoop.scheduleAt(nowNanos + WaitingReads.MAX_LEADER_WAIT_NANOS, this::update);
        if (leader == Leader.SELF) {
            confirm(nowNanos);
        }
        exchangeSoon();
    }

    /** Lets a majority confirm the state of this leader. */
    private void confirm(long arrivalNanos) {
        mReplica.readIndex()
                .thenAccept(
                        outcome -> {
                            boolean isApplied = outcome.status() == ProposalStatus.APPLIED;
                            if (isApplied && mCommittedView.get() != null) {
                                mConfirmed.record(arrivalNanos);
                                updateSoon();
                            }
                        });
    }

    private void cancel(Read<?> read) {
        mWaiting.remove(read);
        read.future().completeExceptionally(OrderFailures.callerLeft());
    }

    /** Answers the reads that a new confirmation suffices for, from any thread. */
    void updateSoon() {
        mLoop.execute(this::update);
    }

    private void update() {
        if (mWaiting.isEmpty()) {
            return;
        }
        Long confirmedNanos = mConfirmed.nanos();
        // Read after the confirmed time, for which it is new enough then.
        ControlView view = mCommittedView.get();
        for (WaitingReads.Ended<Read<?>> each :
                mWaiting.end(mLoop.nowNanos(), confirmedNanos, leader())) {
            end(each.read(), each.outcome(), view);
        }
        mDocument = null;
        exchangeSoon();
    }

    private void end(Read<?> read, Outcome outcome, @Nullable ControlView view) {
        InstanceId leader = mReplica.leader();
        if (outcome == Outcome.SERVE && view != null) {
            read.serve(view);
        } else if (outcome == Outcome.REDIRECT && leader != null && !leader.equals(mSelf)) {
            read.future().complete(new Answer<>(leader, null));
        } else {
            read.future().completeExceptionally(OrderFailures.noQuorum("NOT_CONFIRMED"));
        }
    }

    private Leader leader() {
        InstanceId leader = mReplica.leader();
        if (leader == null) {
            return Leader.NONE;
        }
        return leader.equals(mSelf) ? Leader.SELF : Leader.OTHER;
    }

    private void exchangeSoon() {
        InstanceId leader = mReplica.leader();
        if (!mWaiting.isEmpty() && leader != null && !leader.equals(mSelf)) {
            mExchange.accept(leader);
        }
    }
}
