package org.hemlockrack.daemon.rollout;

import java.nio.ByteBuffer;
import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.EvidenceCollector;
import org.hemlockrack.rollout.EvidenceEvent;
import org.hemlockrack.rollout.EvidenceOutput;
import org.hemlockrack.rollout.LocalTrafficSplit;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutKey;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutStatus;
import org.jspecify.annotations.Nullable;

/**
 * Shares of versions and evidence on one instance. Confined to the loop except {@link #known()}.
 */
public final class RolloutService {
    private static final String FACT_KEY = "rollouts";
    private static final long PULL_MILLIS = 200;
    private static final long REPORT_MILLIS = 3_000;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final EventLog mLog;
    private final LocalTrafficSplit mGate = LocalTrafficSplit.create();
    private final DeciderRunner<EvidenceEvent, EvidenceOutput> mEvidence;
    private final Runnable mOnChange;

    private volatile List<Rollout> mKnown = List.of();
    private boolean mPulling;
    private int mNextPeer;

    private RolloutService(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Proposer proposer,
            EventLog log,
            long incarnation,
            Runnable onChange) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mProposer = proposer;
        mLog = log;
        mOnChange = onChange;
        EvidenceCollector collector =
                EvidenceCollector.of(
                        fleet.selfId(),
                        incarnation,
                        RolloutSettings.forFleet(fleet.view().members().size()),
                        mGate);
        mEvidence = DeciderRunner.create(loop, collector, this::carryOut);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param proposer brings commands to the log
     * @param log the log
     * @param incarnation rises with each start of this process
     * @param onChange runs on the loop when a share changed
     * @return the service
     */
    public static RolloutService create(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Proposer proposer,
            EventLog log,
            long incarnation,
            Runnable onChange) {
        RolloutService service =
                new RolloutService(loop, fleet, network, proposer, log, incarnation, onChange);
        loop.scheduleWithFixedDelay(PULL_MILLIS, service::pullIfBehind);
        return service;
    }

    /** Returns the newest known roll-outs. Safe for use from any thread. */
    public List<Rollout> known() {
        return mKnown;
    }

    /**
     * Returns the share of requests that may use a version. The old version is not limited while a
     * roll-out runs, since every chat that the new one does not get goes to it.
     *
     * @param service the service
     * @param version the version
     * @return 0 to 1
     */
    public double permittedShare(ServiceId service, ModelVersion version) {
        Rollout rollout = mGate.rollout(service, version.model());
        if (rollout == null) {
            return 1;
        }
        if (version.equals(rollout.to())) {
            return mGate.permittedShare(service, version);
        }
        boolean replaced =
                version.equals(rollout.from()) && rollout.status() == RolloutStatus.COMPLETED;
        return replaced ? 0 : 1;
    }

    /** Returns whether a version is being rolled out. */
    public boolean isBeingRolledOut(ServiceId service, ModelVersion version) {
        Rollout rollout = mGate.rollout(service, version.model());
        return rollout != null && rollout.isRunning() && version.equals(rollout.to());
    }

    /** Takes evidence of one request. */
    public void evidence(EvidenceEvent event) {
        mEvidence.handleEvent(event);
    }

    /** Takes roll-outs that the local log or a peer knows. */
    public void learn(List<Rollout> rollouts) {
        Map<RolloutKey, Rollout> newest = new LinkedHashMap<>();
        mKnown.forEach(rollout -> newest.put(rollout.key(), rollout));
        boolean changed = false;
        for (Rollout rollout : rollouts) {
            Rollout old = newest.get(rollout.key());
            if (old != null && old.revision() >= rollout.revision()) {
                continue;
            }
            newest.put(rollout.key(), rollout);
            changed = true;
            logChange(rollout);
        }
        if (!changed) {
            return;
        }
        mKnown = List.copyOf(newest.values());
        mEvidence.handleEvent(new EvidenceEvent.RolloutsLearned(rollouts));
        mFleet.handleEvent(
                new MembershipInput.PublishFact(
                        new Fact(FACT_KEY, revision(), new byte[0], TrafficClass.URGENT)));
        mOnChange.run();
    }

    private void logChange(Rollout rollout) {
        boolean back =
                rollout.status() == RolloutStatus.ROLLED_BACK
                        || rollout.status() == RolloutStatus.STOPPED;
        mLog.log(
                back ? LogEvent.ROLLOUT_ROLLED_BACK : LogEvent.ROLLOUT_STAGE_CHANGED,
                "service %s %s to %s: %s share %.2f %s %s",
                rollout.service(),
                rollout.from(),
                rollout.to().version(),
                rollout.status(),
                rollout.share(),
                rollout.reason(),
                rollout.detail());
    }

    private long revision() {
        return mKnown.stream().mapToLong(Rollout::revision).max().orElse(0);
    }

    private void pullIfBehind() {
        Fact fact = mFleet.view().facts().get(FACT_KEY);
        if (mPulling || fact == null || fact.version() <= revision()) {
            return;
        }
        List<Member> peers = new ArrayList<>(mFleet.view().members().values());
        peers.removeIf(
                member -> member.id().equals(mFleet.selfId()) || !member.status().isReachable());
        if (peers.isEmpty()) {
            return;
        }
        Member peer = peers.get(mNextPeer++ % peers.size());
        mPulling = true;
        mNetwork.callAsync(peer.info().peerAddress(), client -> bytes(client.fetchRollouts()))
                .whenComplete((bytes, fault) -> mLoop.execute(() -> pulled(bytes)));
    }

    private static byte[] bytes(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private void pulled(byte @Nullable [] bytes) {
        mPulling = false;
        if (bytes != null) {
            learn(Rollout.decode(bytes));
        }
    }

    private void carryOut(EvidenceOutput output) {
        if (output instanceof EvidenceOutput.LocallyStopped stopped) {
            mLog.log(
                    LogEvent.ROLLOUT_ROLLED_BACK,
                    "stopped here: %s %s (%s: %s)",
                    stopped.rollout().service(),
                    stopped.rollout().to(),
                    stopped.fault().reason(),
                    stopped.fault().detail());
            mOnChange.run();
            return;
        }
        if (output instanceof EvidenceOutput.ProposeReport report) {
            String id = report.command().requestId();
            mProposer
                    .propose(
                            StateMachineId.ROLLOUT.encodeCommand(report.command().encode()),
                            REPORT_MILLIS)
                    .thenAccept(outcome -> mLoop.execute(() -> reported(id, outcome)));
        }
    }

    private void reported(String requestId, ProposalOutcome outcome) {
        if (outcome.status() == ProposalStatus.APPLIED) {
            mEvidence.handleEvent(new EvidenceEvent.ReportEnded(requestId));
        }
    }
}
