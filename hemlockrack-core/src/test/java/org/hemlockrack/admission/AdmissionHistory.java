package org.hemlockrack.admission;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import org.hemlockrack.admission.AdmissionEvent.Announced;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

/**
 * Random events at one owner, checked against a simple model of what it may do. Foreign work is
 * there at the start and only falls; the owner learns of it from announcements.
 */
final class AdmissionHistory {
    static final int MAX_QUEUE = 12;
    static final int MAX_PER_WORKSPACE = 5;
    private static final long MS = 1_000_000L;
    private static final int STATED = 16;

    private enum State {
        OPEN,
        DISPATCHED,
        CLOSED
    }

    private final SplittableRandom mRandom;
    private final Variant mVariant;
    private final Map<String, State> mStates = new HashMap<>();
    private final Map<String, WorkspaceId> mWorkspaces = new HashMap<>();
    private final List<String> mRunning = new ArrayList<>();
    private final List<String> mFaults = new ArrayList<>();
    private long mNow = 1;
    private long mSequence;
    private long mIncarnation = 1;
    private int mForeign;
    private double mMean = 1;
    private boolean mZoneOut;
    private boolean mLeaving;
    private long mColdSince;
    private AdmissionOutput.Acknowledge mAck;
    private long mAckedAt;
    private long mLeaseEnd;
    private int mDispatched;

    AdmissionHistory(long seed, AdmissionSettings settings, Variant.Change change) {
        mRandom = new SplittableRandom(seed);
        mForeign = mRandom.nextInt(4);
        Admission admission =
                Admission.create(settings, InstanceId.of("i"), BackendId.of("b"), 7, -1L << 40);
        mVariant = new Variant(admission, change);
    }

    static AdmissionSettings settings() {
        AdmissionSettings.Lease lease = new AdmissionSettings.Lease(2_000 * MS, 1_000, 0, 250 * MS);
        return AdmissionSettings.defaults()
                .withLease(lease)
                .withQueue(new AdmissionSettings.Queue(MAX_QUEUE, MAX_PER_WORKSPACE));
    }

    /** Runs the history and returns what went wrong. */
    List<String> run(int steps) {
        announce();
        announce();
        for (int i = 0; i < steps; i++) {
            step();
            checkQueue();
        }
        mNow += 60_000 * MS;
        mVariant.onTimer(mNow, this::handle);
        if (mStates.containsValue(State.OPEN)) {
            mFaults.add("a request got no decision");
        }
        return mFaults;
    }

    int dispatched() {
        return mDispatched;
    }

    private void step() {
        mNow += mRandom.nextLong(120 * MS);
        if (mNow - mAckedAt > 500 * MS && mRandom.nextInt(20) != 0) {
            announce();
        }
        if (mForeign > 0 && mRandom.nextInt(30) == 0) {
            mForeign--;
        }
        switch (mRandom.nextInt(60)) {
            case 0 -> cold(new AdmissionEvent.CacheCleared(mIncarnation));
            case 1 -> mean(mRandom.nextDouble() * 12);
            case 2 -> zone(!mZoneOut);
            case 3 -> leaving(mRandom.nextInt(3) == 0);
            case 4 -> restart();
            case 5 -> mNow += mRandom.nextLong(4_000 * MS);
            case 6, 7, 8 -> cancel();
            case 9, 10 -> mVariant.onTimer(mNow, this::handle);
            case 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21 -> finish();
            default -> arrive();
        }
    }

    private void arrive() {
        String id = "r" + mStates.size();
        WorkspaceId workspace = WorkspaceId.of("w" + mRandom.nextInt(4));
        mStates.put(id, State.OPEN);
        mWorkspaces.put(id, workspace);
        Priority priority = Priority.values()[mRandom.nextInt(3)];
        WaitMode mode = WaitMode.values()[mRandom.nextInt(5) == 0 ? 0 : 1];
        long deadline = mNow + mRandom.nextLong(30_000 * MS);
        int tokens = mRandom.nextInt(4_000);
        send(new Arrived(id, workspace, priority, RequestKind.CHAT, deadline, mode, tokens));
    }

    private void finish() {
        if (mRunning.isEmpty()) {
            return;
        }
        String id = mRunning.remove(mRandom.nextInt(mRunning.size()));
        mStates.put(id, State.CLOSED);
        RequestOutcome outcome =
                mRandom.nextInt(15) == 0 ? RequestOutcome.ERROR : RequestOutcome.OK;
        send(new AdmissionEvent.Finished(id, outcome, mRandom.nextLong(60 * MS)));
    }

    private void cancel() {
        for (Map.Entry<String, State> entry : mStates.entrySet()) {
            if (entry.getValue() == State.OPEN) {
                entry.setValue(State.CLOSED);
                send(new AdmissionEvent.Cancelled(entry.getKey()));
                return;
            }
        }
    }

    private void cold(AdmissionEvent event) {
        mColdSince = mNow;
        send(event);
    }

    private void mean(double mean) {
        mMean = mean;
        send(new AdmissionEvent.LoadSummary(mean, 0));
    }

    private void zone(boolean out) {
        mZoneOut = out;
        send(out ? new AdmissionEvent.ZoneEvacuated() : new AdmissionEvent.ZoneRestored());
    }

    private void leaving(boolean leaving) {
        mLeaving = leaving;
        announce();
    }

    private void restart() {
        mIncarnation++;
        mSequence = 0;
        mColdSince = mNow;
        mForeign = 0;
        announce();
    }

    private void announce() {
        LeaseEcho echo = mAck == null ? null : new LeaseEcho(7, mAck.ownerNanos(), mNow - mAckedAt);
        AnnouncedState state = mLeaving ? AnnouncedState.LEAVING : AnnouncedState.READY;
        PreviousOwner previous = PreviousOwner.none(3_600_000 * MS);
        int load = mForeign + mRunning.size();
        mLeaseEnd = echo == null ? 0 : mNow + 2_000 * MS;
        send(new Announced(mIncarnation, STATED, load, state, ++mSequence, previous, echo));
    }

    private void send(AdmissionEvent event) {
        mVariant.onEvent(mNow, event, this::handle);
    }

    private void handle(AdmissionOutput output) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            decided(dispatch.requestId(), State.DISPATCHED);
            checkDispatch(dispatch.requestId());
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            decided(refuse.requestId(), State.CLOSED);
            fault(refuse.kind().runState() != RunState.NOT_RUN, "refused with " + refuse.kind());
        } else if (output instanceof AdmissionOutput.Acknowledge ack) {
            mAck = ack;
            mAckedAt = mNow;
        }
    }

    private void decided(String id, State state) {
        fault(mStates.get(id) != State.OPEN, "second decision for " + id);
        mStates.put(id, state);
    }

    private void checkDispatch(String id) {
        mDispatched++;
        mRunning.add(id);
        fault(mNow >= mLeaseEnd, "dispatched without the right");
        fault(mZoneOut || mLeaving, "dispatched to a drained backend server");
        long doublings = Math.min(10, (mNow - mColdSince) / (1_000 * MS) + 1);
        long ramp = Math.min(STATED, 1L << doublings);
        ramp = mNow == mColdSince ? 1 : ramp;
        long bound = (long) Math.ceil(1.25 * Math.max(mMean, 1) - 1e-9);
        int load = mForeign + mRunning.size();
        fault(load > Math.min(bound, ramp), "load " + load + " above " + bound + ", " + ramp);
    }

    private void checkQueue() {
        Map<WorkspaceId, Integer> waiting = new HashMap<>();
        int all = 0;
        for (Map.Entry<String, State> entry : mStates.entrySet()) {
            if (entry.getValue() == State.OPEN) {
                all++;
                waiting.merge(mWorkspaces.get(entry.getKey()), 1, Integer::sum);
            }
        }
        fault(all > MAX_QUEUE, "queue holds " + all);
        waiting.values().forEach(n -> fault(n > MAX_PER_WORKSPACE, "workspace queues " + n));
    }

    private void fault(boolean holds, String text) {
        if (holds) {
            mFaults.add(text + " at " + mNow);
        }
    }
}
