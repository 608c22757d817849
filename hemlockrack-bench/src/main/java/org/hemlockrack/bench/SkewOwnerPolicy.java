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

/** One owner per server, with {@link Admission} and load summaries that lag. */
final class SkewOwnerPolicy implements SkewPolicy {
    // Group, mean and age, as compact integers.
    private static final int SUMMARY_BYTES = 8;
    private static final long PERIOD = 500 * SkewSimulation.MS;
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

    private final SkewSimulation mSim;
    private final long mLag;
    private final boolean mDemandMean;
    private final Admission[] mOwners;
    private final long[] mSequence;
    private final long[] mLostAt;
    private final Map<String, Request> mOpen = new HashMap<>();
    private long mNext;
    private long mBytes;

    SkewOwnerPolicy(SkewSimulation sim, long lag, boolean demandMean) {
        mSim = sim;
        mLag = lag;
        mDemandMean = demandMean;
        mOwners = new Admission[sim.mServers];
        mSequence = new long[sim.mServers];
        mLostAt = new long[sim.mServers];
        for (int server = 0; server < sim.mServers; server++) {
            mOwners[server] = create(server);
            int index = server;
            sim.at(server * PERIOD / sim.mServers, () -> announce(index));
        }
    }

    private static Admission create(int server) {
        AdmissionSettings settings = AdmissionSettings.defaults();
        BackendId backend = BackendId.of("b" + server);
        return Admission.create(
                settings, InstanceId.of("i"), backend, 1, -10 * SkewSimulation.SECOND);
    }

    private void announce(int server) {
        mSim.at(PERIOD, () -> announce(server));
        PreviousOwner previous = PreviousOwner.none(3_600 * SkewSimulation.SECOND);
        if (mLostAt[server] > 0) {
            long age = mSim.now() - mLostAt[server];
            previous = new PreviousOwner(InstanceId.of("lost"), age, 1);
        }
        send(
                server,
                new AdmissionEvent.Announced(
                        mSim.incarnation(server) + 1,
                        SkewSimulation.LIMIT,
                        mSim.load(server),
                        AnnouncedState.READY,
                        ++mSequence[server],
                        previous,
                        new LeaseEcho(1, mSim.now(), 0)));
    }

    @Override
    public void arrive(Request request) {
        mOpen.put(request.mId, request);
        tryChoice(request, 0);
    }

    /** Tries the first three choices, then queues at the first. */
    private void tryChoice(Request request, int rank) {
        int choices = Math.min(3, mSim.size(request.mGroup));
        int server = mSim.choice(request, rank < choices ? rank : 0);
        request.mServer = server;
        boolean otherInstance = server % mSim.mInstances != request.mInstance;
        request.mHops += otherInstance ? 1 : 0;
        if (mSim.lacks(request.mInstance, server)) {
            request.mHops++;
        }
        WaitMode mode = rank < choices ? WaitMode.TRY_ONLY : WaitMode.MAY_QUEUE;
        long deadline = mSim.now() + 10 * SkewSimulation.SECOND;
        AdmissionEvent.Arrived arrived =
                new AdmissionEvent.Arrived(
                        request.mId,
                        WORKSPACE,
                        Priority.NORMAL,
                        RequestKind.CHAT,
                        deadline,
                        mode,
                        0);
        mOwners[server].onEvent(
                mSim.now(), arrived, output -> handle(server, output, request, rank));
    }

    private void send(int server, AdmissionEvent event) {
        mOwners[server].onEvent(mSim.now(), event, output -> handle(server, output, null, 0));
    }

    private void handle(int server, AdmissionOutput output, Request tried, int rank) {
        if (output instanceof AdmissionOutput.Dispatch dispatch) {
            mSim.start(mOpen.remove(dispatch.requestId()), server);
        } else if (output instanceof AdmissionOutput.Refuse refuse) {
            boolean again = tried != null && tried.mId.equals(refuse.requestId()) && rank < 3;
            if (again) {
                mSim.at(0, () -> tryChoice(tried, rank + 1));
            } else {
                mOpen.remove(refuse.requestId());
            }
        }
    }

    @Override
    public void finished(Request request) {
        boolean lost = request.mIncarnation != mSim.incarnation(request.mServer);
        RequestOutcome outcome = lost ? RequestOutcome.ERROR : RequestOutcome.OK;
        long ttft = 100 * SkewSimulation.MS;
        send(request.mServer, new AdmissionEvent.Finished(request.mId, outcome, ttft));
    }

    @Override
    public void tick() {
        if (mSim.now() < mNext) {
            return;
        }
        mNext = mSim.now() + PERIOD;
        mBytes += (long) mSim.mInstances * mSim.groups() * SUMMARY_BYTES;
        for (int group = 0; group < mSim.groups(); group++) {
            int index = group;
            double mean = mDemandMean ? demand(group) : mSim.mean(group);
            mSim.at(mLag, () -> summary(index, mean));
        }
    }

    private double demand(int group) {
        double sum = 0;
        for (int i = 0; i < mSim.size(group); i++) {
            int server = mSim.first(group) + i;
            sum += mSim.load(server) + mOwners[server].queueLength();
        }
        return sum / mSim.size(group);
    }

    private void summary(int group, double mean) {
        for (int i = 0; i < mSim.size(group); i++) {
            send(mSim.first(group) + i, new AdmissionEvent.LoadSummary(mean, mLag));
        }
    }

    @Override
    public void cold(int server) {
        announceNow(server);
    }

    private void announceNow(int server) {
        mSequence[server] = 0;
        PreviousOwner previous = PreviousOwner.none(3_600 * SkewSimulation.SECOND);
        send(
                server,
                new AdmissionEvent.Announced(
                        mSim.incarnation(server) + 1,
                        SkewSimulation.LIMIT,
                        0,
                        AnnouncedState.READY,
                        ++mSequence[server],
                        previous,
                        new LeaseEcho(1, mSim.now(), 0)));
    }

    @Override
    public void lost(int instance) {
        for (int server = instance; server < mSim.mServers; server += mSim.mInstances) {
            mOwners[server] = create(server);
            mLostAt[server] = mSim.now();
        }
    }

    @Override
    public long controlBytes() {
        return mBytes;
    }
}
