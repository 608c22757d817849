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
 * One backend server and three instances that all accept its announcements, with clocks of
 * different rates, lost, late and doubled messages, stopped processes, restarts and handovers.
 */
final class OwnershipHistory {
    private static final long MS = 1_000_000L;
    private static final long END = 40_000 * MS;
    private static final int INSTANCES = 3;

    private final SplittableRandom mRandom;
    private final boolean mEcho;
    private final PriorityQueue<Step> mSteps = new PriorityQueue<>();
    private final Node[] mNodes = new Node[INSTANCES];
    private final List<Node> mReplaced = new ArrayList<>();
    private final AdmissionSettings mSettings;
    private final Variant.Change mChange;
    private boolean mForgetsStart;
    private long mNow;
    private long mOrder;
    private int mTarget;
    private long mIncarnation = 1;
    private long mSequence;
    private long mStarted;
    private double mRate;
    private final Map<Integer, long[]> mContacts = new HashMap<>();
    private final Map<Integer, long[]> mAcks = new HashMap<>();
    private int mDispatched;
    private int mDispatchedWithoutRight;
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

    private static final class Node {
        private Variant mVariant;
        private double mRate;
        private long mOffset;
        private long mStoppedUntil;
        private final List<AdmissionEvent> mHeld = new ArrayList<>();
    }

    OwnershipHistory(long seed, boolean echo, Variant.Change change) {
        this(seed, echo, lease(echo, 1_000, 250 * MS), change);
    }

    OwnershipHistory(
            long seed, boolean echo, AdmissionSettings.Lease lease, Variant.Change change) {
        mRandom = new SplittableRandom(seed);
        mEcho = echo;
        mRate = rate();
        mSettings = AdmissionSettings.defaults().withLease(lease);
        mChange = change;
        for (int i = 0; i < INSTANCES; i++) {
            mNodes[i] = start(i);
        }
    }

    private Node start(int index) {
        Node node = new Node();
        node.mRate = rate();
        node.mOffset = mRandom.nextLong(1L << 40) - (1L << 39);
        InstanceId self = InstanceId.of("i" + index);
        BackendId backend = BackendId.of("b");
        long epoch = mRandom.nextLong();
        long began = mForgetsStart ? -1L << 50 : local(node);
        Admission admission = Admission.create(mSettings, self, backend, epoch, began);
        node.mVariant = new Variant(admission, mChange);
        return node;
    }

    static AdmissionSettings.Lease lease(boolean echo, long driftPpm, long freezeGapNanos) {
        long maxFlight = echo ? 0 : 500 * MS;
        return new AdmissionSettings.Lease(2_000 * MS, driftPpm, maxFlight, freezeGapNanos);
    }

    /** Breaks processes that replace others: they do not wait for the right of the old one. */
    OwnershipHistory forgetStart() {
        mForgetsStart = true;
        return this;
    }

    /** Runs the history and returns how often two instances held the right at once. */
    long run() {
        at(0, this::announce);
        at(0, this::tick);
        at(0, this::disturb);
        while (!mSteps.isEmpty() && mSteps.peek().at() < END) {
            Step step = mSteps.poll();
            mNow = step.at();
            step.action().run();
            check();
        }
        return mViolations;
    }

    int dispatched() {
        return mDispatched;
    }

    int dispatchedWithoutRight() {
        return mDispatchedWithoutRight;
    }

    int takeovers() {
        return mTakeovers;
    }

    private double rate() {
        return 1 + (mRandom.nextInt(1001) - 500) / 1e6;
    }

    private long local(Node node) {
        return node.mOffset + (long) (mNow * node.mRate);
    }

    private void at(long delay, Runnable action) {
        mSteps.add(new Step(mNow + delay, mOrder++, action));
    }

    private void check() {
        int owners = 0;
        for (int i = 0; i < INSTANCES; i++) {
            if (mNodes[i].mVariant.admission().isOwner(local(mNodes[i]))) {
                owners++;
                mTakeovers += i == mLastOwner ? 0 : 1;
                mLastOwner = i;
            }
        }
        for (Node node : mReplaced) {
            owners += node.mVariant.admission().isOwner(local(node)) ? 1 : 0;
        }
        mViolations += owners > 1 ? 1 : 0;
    }

    private void announce() {
        at(500 * MS, this::announce);
        if (mRandom.nextInt(12) == 0) {
            mTarget = mRandom.nextInt(INSTANCES);
        }
        int to = mTarget;
        long clock = (long) (mNow * mRate);
        PreviousOwner previous = PreviousOwner.none(clock - mStarted);
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
        if (mNow < mNodes[to].mStoppedUntil) {
            mNodes[to].mHeld.add(event);
        } else {
            call(to, event);
        }
    }

    private void call(int to, AdmissionEvent event) {
        Node node = mNodes[to];
        node.mVariant.onEvent(local(node), event, output -> handle(to, output));
    }

    private void handle(int from, AdmissionOutput output) {
        Node node = mNodes[from];
        if (output instanceof AdmissionOutput.Acknowledge ack) {
            long incarnation = mIncarnation;
            transmit(() -> acknowledged(from, incarnation, ack));
        } else if (output instanceof AdmissionOutput.Handover handover) {
            int to = Integer.parseInt(handover.message().to().value().substring(1));
            transmit(() -> deliver(to, new AdmissionEvent.HandoverReceived(handover.message())));
        } else if (output instanceof AdmissionOutput.Dispatch) {
            mDispatched++;
            boolean right = node.mVariant.admission().isOwner(local(node));
            mDispatchedWithoutRight += right ? 0 : 1;
        }
    }

    private void acknowledged(int from, long incarnation, AdmissionOutput.Acknowledge ack) {
        if (incarnation == mIncarnation) {
            long clock = (long) (mNow * mRate);
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
            at(mRandom.nextLong((late ? 5_000 : mEcho ? 20 : 200) * MS), delivery);
        }
    }

    private void tick() {
        at(50 * MS, this::tick);
        for (int i = 0; i < INSTANCES; i++) {
            int index = i;
            Node node = mNodes[i];
            if (mNow < node.mStoppedUntil) {
                continue;
            }
            List<AdmissionEvent> held = new ArrayList<>(node.mHeld);
            node.mHeld.clear();
            held.forEach(event -> call(index, event));
            Consumer<AdmissionOutput> out = output -> handle(index, output);
            node.mVariant.onTimer(local(node), out);
            call(i, arrival("r" + mOrder++, local(node)));
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

    private void disturb() {
        at(mRandom.nextLong(4_000) * MS, this::disturb);
        int index = mRandom.nextInt(INSTANCES);
        switch (mRandom.nextInt(7)) {
            case 0, 1 -> mNodes[index].mStoppedUntil = mNow + mRandom.nextLong(6_000) * MS;
            case 2, 3 -> handOver(index, (index + 1 + mRandom.nextInt(2)) % INSTANCES);
            case 4 -> mTarget = index;
            case 5 -> replace(index);
            default -> restart();
        }
    }

    private void handOver(int from, int to) {
        deliver(from, new AdmissionEvent.HandoverOrdered(InstanceId.of("i" + to)));
        mTarget = mRandom.nextBoolean() ? to : mTarget;
    }

    /** A new process of an instance starts while the old one is stopped, but not ended. */
    private void replace(int index) {
        Node old = mNodes[index];
        mReplaced.add(old);
        mNodes[index] = start(index);
        long until = Math.max(0, old.mStoppedUntil - mNow);
        at(until, () -> old.mHeld.forEach(e -> old.mVariant.onEvent(local(old), e, out -> {})));
    }

    private void restart() {
        if (mRandom.nextInt(3) != 0) {
            return;
        }
        mIncarnation++;
        mSequence = 0;
        mStarted = (long) (mNow * mRate);
        mContacts.clear();
        mAcks.clear();
    }
}
