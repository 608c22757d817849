package org.hemlockrack.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import java.util.function.Consumer;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

/**
 * Simulates one backend server and three instances that all accept its announcements, with clocks
 * of different rates, lost, delayed and duplicated messages, paused processes, restarts and
 * handovers.
 */
final class OwnershipSimulation {
    private static final long MS = 1_000_000L;
    private static final long END_NANOS = 40_000 * MS;
    private static final int INSTANCES = 3;

    private final SplittableRandom mRandom;
    private final boolean mEcho;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final InstanceProcess[] mProcesses = new InstanceProcess[INSTANCES];
    private final List<InstanceProcess> mReplaced = new ArrayList<>();
    private final AdmissionSettings mSettings;
    private final FaultyAdmission.EventChange mChange;
    private boolean mIgnoresProcessStart;
    private long mNow;
    private long mOrder;
    private int mTarget;
    private long mIncarnation = 1;
    private long mSequence;
    private long mServerStartNanos;
    private double mServerClockRate;
    private final Map<Integer, long[]> mContacts = new HashMap<>();
    private final Map<Integer, long[]> mAcks = new HashMap<>();
    private int mDispatched;
    private int mDispatchedWithoutLease;
    private int mTakeovers;
    private int mLastOwner = -1;
    private long mViolations;

    private record Step(long at, long order, Runnable action) implements Comparable<Step> {
        @Override
        public int compareTo(Step other) {
            int byTime = Long.compare(at, other.at);
            return byTime != 0 ? byTime : Long.compare(order, other.order);
        }
    }

    private static final class InstanceProcess {
        private FaultyAdmission mAdmission;
        private double mClockRate;
        private long mClockOffset;
        private long mPausedUntil;
        private final List<AdmissionEvent> mPendingEvents = new ArrayList<>();
    }

    OwnershipSimulation(long seed, boolean echo, FaultyAdmission.EventChange change) {
        this(seed, echo, lease(echo, 1_000, 250 * MS), change);
    }

    OwnershipSimulation(
            long seed,
            boolean echo,
            AdmissionSettings.Lease lease,
            FaultyAdmission.EventChange change) {
        mRandom = new SplittableRandom(seed);
        mEcho = echo;
        mServerClockRate = randomClockRate();
        mSettings = AdmissionSettings.defaults().withLease(lease);
        mChange = change;
        for (int i = 0; i < INSTANCES; i++) {
            mProcesses[i] = start(i);
        }
    }

    private InstanceProcess start(int index) {
        InstanceProcess process = new InstanceProcess();
        process.mClockRate = randomClockRate();
        process.mClockOffset = mRandom.nextLong(1L << 40) - (1L << 39);
        InstanceId self = InstanceId.of("i" + index);
        BackendId backend = BackendId.of("b");
        long epoch = mRandom.nextLong();
        long processStartNanos = mIgnoresProcessStart ? -1L << 50 : localNanos(process);
        Admission admission = Admission.create(mSettings, self, backend, epoch, processStartNanos);
        process.mAdmission = new FaultyAdmission(admission, mChange);
        return process;
    }

    static AdmissionSettings.Lease lease(boolean echo, long driftPpm, long freezeGapNanos) {
        long maxFlight = echo ? 0 : 500 * MS;
        return new AdmissionSettings.Lease(2_000 * MS, driftPpm, maxFlight, freezeGapNanos);
    }

    /** Makes processes that replace others faulty: they don't wait for the lease of the old one. */
    OwnershipSimulation ignoreProcessStart() {
        mIgnoresProcessStart = true;
        return this;
    }

    /** Runs the simulation and returns how often two instances held the lease at once. */
    long run() {
        schedule(0, this::announce);
        schedule(0, this::tick);
        schedule(0, this::injectFault);
        while (!mSteps.isEmpty() && mSteps.peek().at() < END_NANOS) {
            Step step = mSteps.poll();
            mNow = step.at();
            step.action().run();
            checkOwners();
        }
        return mViolations;
    }

    int dispatched() {
        return mDispatched;
    }

    int dispatchedWithoutLease() {
        return mDispatchedWithoutLease;
    }

    int takeovers() {
        return mTakeovers;
    }

    private double randomClockRate() {
        return 1 + (mRandom.nextInt(1001) - 500) / 1e6;
    }

    private long localNanos(InstanceProcess process) {
        return process.mClockOffset + (long) (mNow * process.mClockRate);
    }

    private void schedule(long delay, Runnable action) {
        mSteps.add(new Step(mNow + delay, mOrder++, action));
    }

    private void checkOwners() {
        int owners = 0;
        for (int i = 0; i < INSTANCES; i++) {
            if (mProcesses[i].mAdmission.admission().isOwner(localNanos(mProcesses[i]))) {
                owners++;
                mTakeovers += i == mLastOwner ? 0 : 1;
                mLastOwner = i;
            }
        }
        for (InstanceProcess process : mReplaced) {
            owners += process.mAdmission.admission().isOwner(localNanos(process)) ? 1 : 0;
        }
        mViolations += owners > 1 ? 1 : 0;
    }

    private void announce() {
        schedule(500 * MS, this::announce);
        if (mRandom.nextInt(12) == 0) {
            mTarget = mRandom.nextInt(INSTANCES);
        }
        int to = mTarget;
        long clock = (long) (mNow * mServerClockRate);
        PreviousOwner previous = PreviousOwner.none(clock - mServerStartNanos);
        for (Map.Entry<Integer, long[]> contact : mContacts.entrySet()) {
            if (contact.getKey() != to && contact.getValue()[1] > previous.sequence()) {
                InstanceId id = InstanceId.of("i" + contact.getKey());
                long[] value = contact.getValue();
                previous = new PreviousOwner(id, clock - value[0], value[1]);
            }
        }
        mSequence++;
        mContacts.put(to, new long[] {clock, mSequence});
        long[] ack = mAcks.get(to);
        LeaseEcho echo =
                mEcho && ack != null ? new LeaseEcho(ack[0], ack[1], clock - ack[2]) : null;
        Announced event =
                new Announced(mIncarnation, 8, 0, AnnouncedState.READY, mSequence, previous, echo);
        transmit(() -> deliver(to, event));
    }

    private void deliver(int to, AdmissionEvent event) {
        if (mNow < mProcesses[to].mPausedUntil) {
            mProcesses[to].mPendingEvents.add(event);
        } else {
            deliverNow(to, event);
        }
    }

    private void deliverNow(int to, AdmissionEvent event) {
        InstanceProcess process = mProcesses[to];
        process.mAdmission.onEvent(localNanos(process), event, output -> handle(to, output));
    }

    private void handle(int from, AdmissionOutput output) {
        InstanceProcess process = mProcesses[from];
        if (output instanceof AdmissionOutput.Acknowledge ack) {
            long incarnation = mIncarnation;
            transmit(() -> onAcknowledged(from, incarnation, ack));
        } else if (output instanceof AdmissionOutput.Handover handover) {
            int to = Integer.parseInt(handover.message().to().value().substring(1));
            transmit(() -> deliver(to, new AdmissionEvent.HandoverReceived(handover.message())));
        } else if (output instanceof AdmissionOutput.Dispatch) {
            mDispatched++;
            boolean isOwner = process.mAdmission.admission().isOwner(localNanos(process));
            mDispatchedWithoutLease += isOwner ? 0 : 1;
        }
    }

    private void onAcknowledged(int from, long incarnation, AdmissionOutput.Acknowledge ack) {
        if (incarnation == mIncarnation) {
            long clock = (long) (mNow * mServerClockRate);
            mAcks.put(from, new long[] {ack.ownerEpoch(), ack.ownerNanos(), clock});
        }
    }

    private void transmit(Runnable delivery) {
        if (mRandom.nextInt(10) == 0) {
            return;
        }
        int copies = mRandom.nextInt(10) == 0 ? 2 : 1;
        for (int i = 0; i < copies; i++) {
            boolean late = mEcho && mRandom.nextInt(8) == 0;
            schedule(mRandom.nextLong((late ? 5_000 : mEcho ? 20 : 200) * MS), delivery);
        }
    }

    private void tick() {
        schedule(50 * MS, this::tick);
        for (int i = 0; i < INSTANCES; i++) {
            int index = i;
            InstanceProcess process = mProcesses[i];
            if (mNow < process.mPausedUntil) {
                continue;
            }
            List<AdmissionEvent> pending = new ArrayList<>(process.mPendingEvents);
            process.mPendingEvents.clear();
            pending.forEach(event -> deliverNow(index, event));
            Consumer<AdmissionOutput> out = output -> handle(index, output);
            process.mAdmission.onTimer(localNanos(process), out);
            deliverNow(i, arrival("r" + mOrder++, localNanos(process)));
        }
    }

    private static Arrived arrival(String id, long now) {
        return new Arrived(
                id,
                WorkspaceId.of("w"),
                Priority.HIGH,
                RequestKind.CHAT,
                now + 1_000 * MS,
                WaitMode.MAY_QUEUE,
                0);
    }

    private void injectFault() {
        schedule(mRandom.nextLong(4_000) * MS, this::injectFault);
        int index = mRandom.nextInt(INSTANCES);
        switch (mRandom.nextInt(7)) {
            case 0, 1 -> mProcesses[index].mPausedUntil = mNow + mRandom.nextLong(6_000) * MS;
            case 2, 3 -> handOver(index, (index + 1 + mRandom.nextInt(2)) % INSTANCES);
            case 4 -> mTarget = index;
            case 5 -> replaceProcess(index);
            default -> restartServer();
        }
    }

    private void handOver(int from, int to) {
        deliver(from, new AdmissionEvent.HandoverOrdered(InstanceId.of("i" + to)));
        mTarget = mRandom.nextBoolean() ? to : mTarget;
    }

    /** Starts a new process of an instance while the old one is paused, but not ended. */
    private void replaceProcess(int index) {
        InstanceProcess old = mProcesses[index];
        mReplaced.add(old);
        mProcesses[index] = start(index);
        long until = Math.max(0, old.mPausedUntil - mNow);
        schedule(
                until,
                () ->
                        old.mPendingEvents.forEach(
                                e -> old.mAdmission.onEvent(localNanos(old), e, out -> {})));
    }

    private void restartServer() {
        if (mRandom.nextInt(3) != 0) {
            return;
        }
        mIncarnation++;
        mSequence = 0;
        mServerStartNanos = (long) (mNow * mServerClockRate);
        mContacts.clear();
        mAcks.clear();
    }
}
