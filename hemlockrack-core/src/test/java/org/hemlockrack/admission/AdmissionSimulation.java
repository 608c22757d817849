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
 * Simulates random events at one owner and checks its decisions against a simple model. Foreign
 * load exists at the start and only decreases; announcements report it to the owner.
 */
final class AdmissionSimulation {
    static final int MAX_QUEUE = 12;
    static final int MAX_PER_WORKSPACE = 5;
    private static final long MS = 1_000_000L;
    private static final int STATED_LIMIT = 16;

    private enum RequestState {
        OPEN,
        DISPATCHED,
        CLOSED
    }

    private final SplittableRandom mRandom;
    private final FaultyAdmission mAdmission;
    private final Map<String, RequestState> mStates = new HashMap<>();
    private final Map<String, WorkspaceId> mWorkspaces = new HashMap<>();
    private final List<String> mInFlight = new ArrayList<>();
    private final List<String> mViolations = new ArrayList<>();
    private long mNowNanos = 1;
    private long mSequence;
    private long mIncarnation = 1;
    private int mForeignLoad;
    private double mMeanLoad = 1;
    private boolean mZoneEvacuated;
    private boolean mLeaving;
    private long mColdSinceNanos;
    private AdmissionOutput.Acknowledge mAck;
    private long mAckedNanos;
    private long mLeaseEndNanos;
    private int mDispatched;

    AdmissionSimulation(long seed, AdmissionSettings settings, FaultyAdmission.EventChange change) {
        mRandom = new SplittableRandom(seed);
        mForeignLoad = mRandom.nextInt(4);
        Admission admission =
                Admission.create(settings, InstanceId.of("i"), BackendId.of("b"), 7, -1L << 40);
        mAdmission = new FaultyAdmission(admission, change);
    }

    static AdmissionSettings settings() {
        AdmissionSettings.Lease lease = new AdmissionSettings.Lease(2_000 * MS, 1_000, 0, 250 * MS);
        return AdmissionSettings.defaults()
                .withLease(lease)
                .withQueue(new AdmissionSettings.Queue(MAX_QUEUE, MAX_PER_WORKSPACE));
    }

    /** Runs the simulation and returns the violations. */
    List<String> run(int steps) {
        announce();
        announce();
        for (int i = 0; i < steps; i++) {
            step();
            checkQueue();
        }
        mNowNanos += 60_000 * MS;
        mAdmission.onTimer(mNowNanos, this::handle);
        if (mStates.containsValue(RequestState.OPEN)) {
            mViolations.add("a request got no decision");
        }
        return mViolations;
    }

    int dispatched() {
        return mDispatched;
    }

    private void step() {
        mNowNanos += mRandom.nextLong(120 * MS);
        if (mNowNanos - mAckedNanos > 500 * MS && mRandom.nextInt(20) != 0) {
            announce();
        }
        if (mForeignLoad > 0 && mRandom.nextInt(30) == 0) {
            mForeignLoad--;
        }
        switch (mRandom.nextInt(60)) {
            case 0 -> sendCold(new AdmissionEvent.CacheCleared(mIncarnation));
            case 1 -> sendMeanLoad(mRandom.nextDouble() * 12);
            case 2 -> setZoneEvacuated(!mZoneEvacuated);
            case 3 -> setLeaving(mRandom.nextInt(3) == 0);
            case 4 -> restartServer();
            case 5 -> mNowNanos += mRandom.nextLong(4_000 * MS);
            case 6, 7, 8 -> cancel();
            case 9, 10 -> mAdmission.onTimer(mNowNanos, this::handle);
            case 11, 12, 13, 14, 15, 16, 17, 18, 19, 20, 21 -> finish();
            default -> arrive();
        }
    }

    private void arrive() {
        String id = "r" + mStates.size();
        WorkspaceId workspace = WorkspaceId.of("w" + mRandom.nextInt(4));
        mStates.put(id, RequestState.OPEN);
        mWorkspaces.put(id, workspace);
        Priority priority = Priority.values()[mRandom.nextInt(3)];
        WaitMode mode = WaitMode.values()[mRandom.nextInt(5) == 0 ? 0 : 1];
        long deadline = mNowNanos + mRandom.nextLong(30_000 * MS);
        int tokens = mRandom.nextInt(4_000);
        send(new Arrived(id, workspace, priority, RequestKind.CHAT, deadline, mode, tokens));
    }

    private void finish() {
        if (mInFlight.isEmpty()) {
            return;
        }
        String id = mInFlight.remove(mRandom.nextInt(mInFlight.size()));
        mStates.put(id, RequestState.CLOSED);
        RequestOutcome outcome =
                mRandom.nextInt(15) == 0 ? RequestOutcome.ERROR : RequestOutcome.OK;
        send(new AdmissionEvent.Finished(id, outcome, mRandom.nextLong(60 * MS)));
    }

    private void cancel() {
        for (Map.Entry<String, RequestState> entry : mStates.entrySet()) {
            if (entry.getValue() == RequestState.OPEN) {
                entry.setValue(RequestState.CLOSED);
                send(new AdmissionEvent.Cancelled(entry.getKey()));
                return;
            }
        }
    }

    private void sendCold(AdmissionEvent event) {
        mColdSinceNanos = mNowNanos;
        send(event);
    }

    private void sendMeanLoad(double mean) {
        mMeanLoad = mean;
        send(new AdmissionEvent.LoadSummary(mean, 0));
    }

    private void setZoneEvacuated(boolean evacuated) {
        mZoneEvacuated = evacuated;
        send(evacuated ? new AdmissionEvent.ZoneEvacuated() : new AdmissionEvent.ZoneRestored());
    }

    private void setLeaving(boolean leaving) {
        mLeaving = leaving;
        announce();
    }

    private void restartServer() {
        mIncarnation++;
        mSequence = 0;
        mColdSinceNanos = mNowNanos;
        mForeignLoad = 0;
        announce();
    }

    private void announce() {
        LeaseEcho echo =
                mAck == null ? null : new LeaseEcho(7, mAck.ownerNanos(), mNowNanos - mAckedNanos);
        AnnouncedState state = mLeaving ? AnnouncedState.LEAVING : AnnouncedState.READY;
        PreviousOwner previous = PreviousOwner.none(3_600_000 * MS);
        int load = mForeignLoad + mInFlight.size();
        mLeaseEndNanos = echo == null ? 0 : mNowNanos + 2_000 * MS;
        send(new Announced(mIncarnation, STATED_LIMIT, load, state, ++mSequence, previous, echo));
    }

    private void send(AdmissionEvent event) {
        mAdmission.onEvent(mNowNanos, event, this::handle);
    }

    private void handle(AdmissionOutput output) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            recordDecision(dispatch.requestId(), RequestState.DISPATCHED);
            checkDispatch(dispatch.requestId());
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            recordDecision(refuse.requestId(), RequestState.CLOSED);
            recordIf(refuse.kind().runState() != RunState.NOT_RUN, "refused with " + refuse.kind());
        } else if (output instanceof AdmissionOutput.Acknowledge ack) {
            mAck = ack;
            mAckedNanos = mNowNanos;
        }
    }

    private void recordDecision(String id, RequestState state) {
        recordIf(mStates.get(id) != RequestState.OPEN, "second decision for " + id);
        mStates.put(id, state);
    }

    private void checkDispatch(String id) {
        mDispatched++;
        mInFlight.add(id);
        recordIf(mNowNanos >= mLeaseEndNanos, "dispatched without the lease");
        recordIf(mZoneEvacuated || mLeaving, "dispatched to a drained backend server");
        long doublings = Math.min(10, (mNowNanos - mColdSinceNanos) / (1_000 * MS) + 1);
        long ramp = Math.min(STATED_LIMIT, 1L << doublings);
        ramp = mNowNanos == mColdSinceNanos ? 1 : ramp;
        long bound = (long) Math.ceil(1.25 * Math.max(mMeanLoad, 1) - 1e-9);
        int load = mForeignLoad + mInFlight.size();
        recordIf(load > Math.min(bound, ramp), "load " + load + " above " + bound + ", " + ramp);
    }

    private void checkQueue() {
        Map<WorkspaceId, Integer> queued = new HashMap<>();
        int all = 0;
        for (Map.Entry<String, RequestState> entry : mStates.entrySet()) {
            if (entry.getValue() == RequestState.OPEN) {
                all++;
                queued.merge(mWorkspaces.get(entry.getKey()), 1, Integer::sum);
            }
        }
        recordIf(all > MAX_QUEUE, "queue holds " + all);
        queued.values().forEach(n -> recordIf(n > MAX_PER_WORKSPACE, "workspace queues " + n));
    }

    private void recordIf(boolean violated, String text) {
        if (violated) {
            mViolations.add(text + " at " + mNowNanos);
        }
    }
}
