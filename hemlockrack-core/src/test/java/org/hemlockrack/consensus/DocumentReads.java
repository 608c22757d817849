package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import org.hemlockrack.control.WaitingReads;
import org.hemlockrack.control.WaitingReads.Leader;
import org.hemlockrack.control.WaitingReads.Outcome;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Controllers of a {@link ClusterSimulation} that confirm their states to each other and answer
 * reads with a document, and a caller that reads it. Everything that they send is queued on the
 * links of their instances.
 */
final class DocumentReads {
    /** The document of 1,280 routes as callers read it. */
    private static final int DOCUMENT_BYTES = 373_000;

    private static final int PIECE_BYTES = 64 << 10;
    private static final int EXCHANGE_REQUEST_BYTES = 500;
    private static final int EXCHANGE_REPLY_BYTES = 1_500;
    private static final int SHORT_ANSWER_BYTES = 300;
    private static final int LINK_DELAY_MICROS = 1_400;

    /** Pause between two exchanges of controllers in a fleet of 87 gateways. */
    private static final int EXCHANGE_PERIOD_MILLIS = 800;

    private static final int MIN_EXCHANGE_PERIOD_MILLIS = 100;
    private static final int MAINTENANCE_PERIOD_MILLIS = 200;

    /** A caller asks another controller after this time in which nothing arrived. */
    private static final int SILENCE_LIMIT_MILLIS = 1_000;

    private static final int FIRST_PAUSE_MILLIS = 100;
    private static final int MAX_PAUSE_MILLIS = 800;
    private static final int MAX_REDIRECTS = 2;
    private static final int GIVE_UP_MILLIS = 20_000;

    /** Which controllers answer a read. */
    enum ReadRule {
        LEADER,
        ANY_CONFIRMED
    }

    private record Event(long atNanos, long sequence, Runnable action) {}

    private final ClusterSimulation mSimulation;
    private final ReadRule mRule;
    private final PriorityQueue<Event> mEvents =
            new PriorityQueue<>(
                    Comparator.comparingLong(Event::atNanos).thenComparingLong(Event::sequence));
    private final List<Controller> mControllers = new ArrayList<>();
    private long mNextSequence;
    private int mNextTarget;

    DocumentReads(ClusterSimulation simulation, ReadRule rule) {
        mSimulation = simulation;
        mRule = rule;
        for (int i = 0; i < simulation.mInstances.size(); i++) {
            mControllers.add(new Controller(i));
        }
    }

    void step() {
        while (!mEvents.isEmpty() && mEvents.peek().atNanos() <= mSimulation.mNowNanos) {
            mEvents.poll().action().run();
        }
        mControllers.forEach(Controller::step);
    }

    private void at(long atNanos, Runnable action) {
        mEvents.add(new Event(atNanos, mNextSequence++, action));
    }

    private long afterMillis(long millis) {
        return mSimulation.mNowNanos + mSimulation.millisToNanos(millis);
    }

    private static long delayNanos() {
        return LINK_DELAY_MICROS * 1_000L;
    }

    /** Queues bytes on the link of a controller; the action runs when they have arrived. */
    private void transmit(int source, int bytes, Runnable onArrival) {
        at(mSimulation.occupyLink(source, bytes) + delayNanos(), onArrival);
    }

    private final class Controller {
        private final int mIndex;
        private final SimulatedInstance mInstance;
        private final long[] mStartedNanos = new long[mSimulation.mInstances.size()];
        private final long[] mNextNanos = new long[mStartedNanos.length];
        private WaitingReads<Attempt> mWaiting = WaitingReads.create();
        private final Map<Long, Attempt> mLeaderReads = new HashMap<>();
        private @Nullable CommandListState mProcess;
        private boolean mCaughtUp;
        private @Nullable Long mConfirmedNanos;
        private long mConfirmationTicket;
        private long mConfirmationRequestNanos;
        private long mMaintenanceNanos;

        Controller(int index) {
            mIndex = index;
            mInstance = mSimulation.mInstances.get(index);
        }

        boolean isSameProcess(@Nullable CommandListState process) {
            return mInstance.isRunning() && mInstance.mState == process;
        }

        private void step() {
            if (!mInstance.isRunning()) {
                return;
            }
            if (mProcess != mInstance.mState) {
                startProcess();
            }
            Consensus consensus = mInstance.consensus();
            boolean isVoter = consensus.membership().isVoter(mInstance.replicaId());
            mCaughtUp |=
                    isVoter
                            && consensus.lastTerm() == consensus.term()
                            && consensus.commitIndex() == consensus.lastIndex();
            confirmLeadership();
            for (int i = 0; i < mNextNanos.length; i++) {
                if (i != mIndex && mNextNanos[i] <= mSimulation.mNowNanos) {
                    exchange(i);
                }
            }
            answerReads();
        }

        private void startProcess() {
            mProcess = mInstance.mState;
            mCaughtUp = false;
            mConfirmedNanos = null;
            mConfirmationTicket = 0;
            mWaiting = WaitingReads.create();
            mLeaderReads.clear();
            for (int i = 0; i < mNextNanos.length; i++) {
                mNextNanos[i] =
                        afterMillis(mSimulation.mRandom.nextInt(MIN_EXCHANGE_PERIOD_MILLIS));
            }
        }

        private void confirmLeadership() {
            if (mConfirmationTicket != 0 && mInstance.mServedReads.contains(mConfirmationTicket)) {
                mConfirmationTicket = 0;
                confirm(mConfirmationRequestNanos);
            }
            if (mInstance.consensus().role() != Role.LEADER) {
                mConfirmationTicket = 0;
                return;
            }
            if (mConfirmationTicket == 0 && mMaintenanceNanos <= mSimulation.mNowNanos) {
                mMaintenanceNanos = afterMillis(MAINTENANCE_PERIOD_MILLIS);
                mConfirmationRequestNanos = mSimulation.mNowNanos;
                mConfirmationTicket = requestRead();
            }
        }

        private long requestRead() {
            long ticket = mSimulation.nextReadTicket();
            mInstance.read(ticket, mSimulation.mOracle.mAcknowledgedIndex);
            return ticket;
        }

        private void confirm(long atNanos) {
            if (mCaughtUp && (mConfirmedNanos == null || atNanos > mConfirmedNanos)) {
                mConfirmedNanos = atNanos;
            }
        }

        private void exchange(int target) {
            Controller other = mControllers.get(target);
            CommandListState process = mProcess;
            long requestNanos = mSimulation.mNowNanos;
            mStartedNanos[target] = requestNanos;
            // The connection is opened again after a second without a reply.
            mNextNanos[target] = afterMillis(SILENCE_LIMIT_MILLIS);
            transmit(
                    mIndex,
                    EXCHANGE_REQUEST_BYTES,
                    () -> other.replyTo(this, process, requestNanos));
        }

        private void replyTo(Controller sender, @Nullable CommandListState process, long request) {
            if (!isSameProcess(mProcess)) {
                return;
            }
            Long confirmed = mConfirmedNanos;
            long ageNanos = confirmed == null ? Long.MIN_VALUE : mSimulation.mNowNanos - confirmed;
            long index = mInstance.mState.mIndex;
            transmit(
                    mIndex,
                    EXCHANGE_REPLY_BYTES,
                    () -> {
                        if (sender.isSameProcess(process)) {
                            sender.onReply(mIndex, request, ageNanos, index);
                        }
                    });
        }

        private void onReply(int source, long requestNanos, long ageNanos, long index) {
            if (ageNanos != Long.MIN_VALUE && mInstance.mState.mIndex >= index) {
                confirm(requestNanos - ageNanos);
            }
            mNextNanos[source] = afterMillis(EXCHANGE_PERIOD_MILLIS);
            answerReads();
            exchangeSoonIfNeeded();
        }

        /** Asks the leader again as early as the shortest pause allows while reads wait. */
        private void exchangeSoonIfNeeded() {
            InstanceId leader = mInstance.consensus().leader();
            if (mWaiting.isEmpty() || leader == null || leader.equals(mInstance.mId)) {
                return;
            }
            int target = indexOf(leader);
            boolean isInExchange =
                    mNextNanos[target] - mStartedNanos[target]
                            == mSimulation.millisToNanos(SILENCE_LIMIT_MILLIS);
            if (!isInExchange) {
                long soonNanos =
                        mStartedNanos[target]
                                + mSimulation.millisToNanos(MIN_EXCHANGE_PERIOD_MILLIS);
                mNextNanos[target] = Math.min(mNextNanos[target], soonNanos);
            }
        }

        private Leader leader() {
            InstanceId leader = mInstance.consensus().leader();
            if (leader == null) {
                return Leader.NONE;
            }
            return leader.equals(mInstance.mId) ? Leader.SELF : Leader.OTHER;
        }

        void receive(Attempt attempt) {
            if (!isSameProcess(mProcess)) {
                attempt.end();
                return;
            }
            if (mRule == ReadRule.LEADER) {
                switch (leader()) {
                    case SELF -> mLeaderReads.put(requestRead(), attempt);
                    case OTHER -> answer(attempt, Outcome.REDIRECT);
                    default -> answer(attempt, Outcome.REFUSE);
                }
                return;
            }
            Outcome outcome = mWaiting.add(mSimulation.mNowNanos, attempt, leader(), mCaughtUp);
            if (outcome != null) {
                answer(attempt, outcome);
                return;
            }
            if (leader() == Leader.SELF) {
                mLeaderReads.put(requestRead(), attempt);
            }
            exchangeSoonIfNeeded();
        }

        private void answerReads() {
            for (Map.Entry<Long, Attempt> each : List.copyOf(mLeaderReads.entrySet())) {
                if (!mInstance.mServedReads.contains(each.getKey())) {
                    continue;
                }
                mLeaderReads.remove(each.getKey());
                if (mRule == ReadRule.LEADER) {
                    answer(each.getValue(), Outcome.SERVE);
                } else {
                    confirm(each.getValue().mArrivalNanos);
                }
            }
            List<WaitingReads.Ended<Attempt>> ended =
                    mWaiting.end(mSimulation.mNowNanos, mConfirmedNanos, leader());
            ended.forEach(each -> answer(each.read(), each.outcome()));
        }

        private void answer(Attempt attempt, Outcome outcome) {
            InstanceId leader = mInstance.consensus().leader();
            mLeaderReads.values().remove(attempt);
            switch (outcome) {
                case SERVE -> {
                    mSimulation.mOracle.onRead(attempt.mAcknowledgedIndex, mProcess.mIndex);
                    sendPiece(attempt, mProcess, DOCUMENT_BYTES);
                }
                case REDIRECT -> {
                    int target = indexOf(leader);
                    transmit(mIndex, SHORT_ANSWER_BYTES, () -> attempt.redirect(target));
                }
                default -> transmit(mIndex, SHORT_ANSWER_BYTES, attempt::end);
            }
        }

        /** Queues a piece of the document, and the next one once this one is sent. */
        private void sendPiece(Attempt attempt, @Nullable CommandListState process, int bytes) {
            if (attempt.mEnded || !isSameProcess(process)) {
                return;
            }
            int pieceBytes = Math.min(PIECE_BYTES, bytes);
            long sentNanos = mSimulation.occupyLink(mIndex, pieceBytes);
            at(sentNanos + delayNanos(), () -> attempt.receive(bytes == pieceBytes));
            if (bytes > pieceBytes) {
                at(sentNanos, () -> sendPiece(attempt, process, bytes - pieceBytes));
            }
        }
    }

    private static int indexOf(InstanceId instance) {
        return Integer.parseInt(instance.value().substring(1));
    }

    /** One request of a caller, with the requests that it makes to follow redirects. */
    private final class Attempt {
        private long mAcknowledgedIndex;
        private long mArrivalNanos;
        private long mProgressNanos;
        private int mRedirects;
        private boolean mEnded;
        private boolean mRead;

        void send(int target) {
            mProgressNanos = mSimulation.mNowNanos;
            at(
                    mSimulation.mNowNanos + delayNanos(),
                    () -> {
                        mArrivalNanos = mSimulation.mNowNanos;
                        mAcknowledgedIndex = mSimulation.mOracle.mAcknowledgedIndex;
                        mControllers.get(target).receive(this);
                    });
        }

        void redirect(int target) {
            if (mEnded) {
                return;
            }
            if (mRedirects++ == MAX_REDIRECTS) {
                end();
                return;
            }
            send(target);
        }

        void receive(boolean isLast) {
            if (mEnded) {
                return;
            }
            mProgressNanos = mSimulation.mNowNanos;
            if (isLast) {
                mRead = true;
                end();
            }
        }

        void end() {
            mEnded = true;
        }

        void endIfSilent() {
            if (mSimulation.mNowNanos - mProgressNanos
                    >= mSimulation.millisToNanos(SILENCE_LIMIT_MILLIS)) {
                end();
                mControllers.forEach(each -> each.mWaiting.remove(this));
            }
        }
    }

    /**
     * Reads the document as a caller does: asks the controllers in turn, with growing pauses.
     *
     * @param advance advances the simulation by one tick
     * @return how long it took, about 20 s if it was not read by then
     */
    long readMillis(Runnable advance) {
        long startNanos = mSimulation.mNowNanos;
        long endNanos = afterMillis(GIVE_UP_MILLIS);
        int pauseMillis = FIRST_PAUSE_MILLIS;
        while (mSimulation.mNowNanos < endNanos) {
            Attempt attempt = new Attempt();
            attempt.send(mNextTarget++ % mControllers.size());
            while (!attempt.mEnded) {
                advance.run();
                attempt.endIfSilent();
            }
            if (attempt.mRead) {
                break;
            }
            long resumeNanos = afterMillis(pauseMillis);
            pauseMillis = Math.min(2 * pauseMillis, MAX_PAUSE_MILLIS);
            while (mSimulation.mNowNanos < resumeNanos) {
                advance.run();
            }
        }
        return (mSimulation.mNowNanos - startNanos) / mSimulation.millisToNanos(1);
    }
}
