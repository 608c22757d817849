package org.hemlockrack.bench;

import java.util.HashMap;
import java.util.Map;
import org.hemlockrack.admission.Admission;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.AnnouncedState;
import org.hemlockrack.admission.LeaseEcho;
import org.hemlockrack.admission.PreviousOwner;
import org.hemlockrack.admission.RequestOutcome;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.bench.SkewSimulation.Request;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;

/** Each server has one owner with {@link Admission}; load summaries reach owners with a lag. */
final class SkewOwnerPolicy implements SkewPolicy {
    // Group, mean load and age, as compact integers.
    private static final int SUMMARY_BYTES = 8;
    private static final long PERIOD_NANOS = 500 * SkewSimulation.NANOS_PER_MILLI;
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

    private final SkewSimulation mSim;
    private final long mLagNanos;
    private final boolean mIncludesQueued;
    private final Admission[] mAdmissions;
    private final long[] mSequences;
    private final long[] mOwnerLostNanos;
    private final Map<String, Request> mOpenRequests = new HashMap<>();
    private long mNextSummaryNanos;
    private long mControlBytes;

    SkewOwnerPolicy(SkewSimulation sim, long lagNanos, boolean includesQueued) {
        mSim = sim;
        mLagNanos = lagNanos;
        mIncludesQueued = includesQueued;
        mAdmissions = new Admission[sim.mServers];
        mSequences = new long[sim.mServers];
        mOwnerLostNanos = new long[sim.mServers];
        for (int server = 0; server < sim.mServers; server++) {
            mAdmissions[server] = createAdmission(server);
            int index = server;
            sim.schedule(server * PERIOD_NANOS / sim.mServers, () -> announce(index));
        }
    }

    private static Admission createAdmission(int server) {
        AdmissionSettings settings = AdmissionSettings.defaults();
        BackendId backend = BackendId.of("b" + server);
        return Admission.create(
                settings, InstanceId.of("i"), backend, 1, -10 * SkewSimulation.NANOS_PER_SECOND);
    }

    private void announce(int server) {
        mSim.schedule(PERIOD_NANOS, () -> announce(server));
        PreviousOwner previous = PreviousOwner.none(3_600 * SkewSimulation.NANOS_PER_SECOND);
        if (mOwnerLostNanos[server] > 0) {
            long ageNanos = mSim.nowNanos() - mOwnerLostNanos[server];
            previous = new PreviousOwner(InstanceId.of("lost"), ageNanos, 1);
        }
        handleEvent(
                server,
                new AdmissionEvent.Announced(
                        mSim.incarnationOf(server) + 1,
                        SkewSimulation.SERVER_LIMIT,
                        mSim.loadOf(server),
                        AnnouncedState.READY,
                        ++mSequences[server],
                        previous,
                        new LeaseEcho(1, mSim.nowNanos(), 0)));
    }

    @Override
    public void onArrival(Request request) {
        mOpenRequests.put(request.mId, request);
        tryChoice(request, 0);
    }

    /** Tries the first three choices of a request, then queues it at the first. */
    private void tryChoice(Request request, int rank) {
        int choices = Math.min(3, mSim.groupSize(request.mGroup));
        int server = mSim.rankedServer(request, rank < choices ? rank : 0);
        request.mServer = server;
        boolean otherInstance = server % mSim.mInstances != request.mInstance;
        request.mHops += otherInstance ? 1 : 0;
        if (mSim.isServerUnknown(request.mInstance, server)) {
            request.mHops++;
        }
        WaitMode mode = rank < choices ? WaitMode.TRY_ONLY : WaitMode.MAY_QUEUE;
        long deadlineNanos = mSim.nowNanos() + 10 * SkewSimulation.NANOS_PER_SECOND;
        AdmissionEvent.Arrived arrived =
                new AdmissionEvent.Arrived(
                        request.mId,
                        WORKSPACE,
                        Priority.NORMAL,
                        RequestKind.CHAT,
                        deadlineNanos,
                        mode,
                        0);
        mAdmissions[server].onEvent(
                mSim.nowNanos(), arrived, output -> handleOutput(server, output, request, rank));
    }

    private void handleEvent(int server, AdmissionEvent event) {
        mAdmissions[server].onEvent(
                mSim.nowNanos(), event, output -> handleOutput(server, output, null, 0));
    }

    private void handleOutput(
            int server, AdmissionOutput output, Request arrivedRequest, int rank) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            mSim.startRequest(mOpenRequests.remove(dispatch.requestId()), server);
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            boolean triesNext =
                    arrivedRequest != null
                            && arrivedRequest.mId.equals(refuse.requestId())
                            && rank < 3;
            if (triesNext) {
                mSim.schedule(0, () -> tryChoice(arrivedRequest, rank + 1));
            } else {
                mOpenRequests.remove(refuse.requestId());
            }
        }
    }

    @Override
    public void onFinished(Request request) {
        boolean serverRestarted = request.mIncarnation != mSim.incarnationOf(request.mServer);
        RequestOutcome outcome = serverRestarted ? RequestOutcome.ERROR : RequestOutcome.OK;
        long firstTokenNanos = 100 * SkewSimulation.NANOS_PER_MILLI;
        handleEvent(
                request.mServer,
                new AdmissionEvent.Finished(request.mId, outcome, firstTokenNanos));
    }

    @Override
    public void onTick() {
        if (mSim.nowNanos() < mNextSummaryNanos) {
            return;
        }
        mNextSummaryNanos = mSim.nowNanos() + PERIOD_NANOS;
        mControlBytes += (long) mSim.mInstances * mSim.groupCount() * SUMMARY_BYTES;
        for (int group = 0; group < mSim.groupCount(); group++) {
            int index = group;
            double meanLoad = mIncludesQueued ? meanDemand(group) : mSim.meanLoad(group);
            mSim.schedule(mLagNanos, () -> deliverSummary(index, meanLoad));
        }
    }

    private double meanDemand(int group) {
        double sum = 0;
        for (int i = 0; i < mSim.groupSize(group); i++) {
            int server = mSim.firstServer(group) + i;
            sum += mSim.loadOf(server) + mAdmissions[server].queueLength();
        }
        return sum / mSim.groupSize(group);
    }

    private void deliverSummary(int group, double meanLoad) {
        for (int i = 0; i < mSim.groupSize(group); i++) {
            handleEvent(
                    mSim.firstServer(group) + i,
                    new AdmissionEvent.LoadSummary(meanLoad, mLagNanos));
        }
    }

    @Override
    public void onServerRestarted(int server) {
        announceRestart(server);
    }

    private void announceRestart(int server) {
        mSequences[server] = 0;
        PreviousOwner previous = PreviousOwner.none(3_600 * SkewSimulation.NANOS_PER_SECOND);
        handleEvent(
                server,
                new AdmissionEvent.Announced(
                        mSim.incarnationOf(server) + 1,
                        SkewSimulation.SERVER_LIMIT,
                        0,
                        AnnouncedState.READY,
                        ++mSequences[server],
                        previous,
                        new LeaseEcho(1, mSim.nowNanos(), 0)));
    }

    @Override
    public void onInstanceLost(int instance) {
        for (int server = instance; server < mSim.mServers; server += mSim.mInstances) {
            mAdmissions[server] = createAdmission(server);
            mOwnerLostNanos[server] = mSim.nowNanos();
        }
    }

    @Override
    public long controlBytes() {
        return mControlBytes;
    }
}
