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
 * Applies the roll-outs on one instance: limits the traffic share of each model version, collects
 * evidence about new versions from this instance's requests, and exchanges roll-out states with
 * peers. Confined to the loop except {@link #knownRollouts()}.
 */
public final class RolloutService {
    private static final String GOSSIP_FACT_KEY = "rollouts";
    private static final long PULL_INTERVAL_MILLIS = 200;
    private static final long REPORT_TIMEOUT_MILLIS = 3_000;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final Proposer mProposer;
    private final EventLog mLog;
    private final LocalTrafficSplit mTrafficSplit = LocalTrafficSplit.create();
    private final DeciderRunner<EvidenceEvent, EvidenceOutput> mEvidenceRunner;
    private final Runnable mOnChange;

    private volatile List<Rollout> mKnownRollouts = List.of();
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
                        mTrafficSplit);
        mEvidenceRunner = DeciderRunner.create(loop, collector, this::handleOutput);
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param proposer proposes commands to the replicated log
     * @param log the event log
     * @param incarnation number that increases with each start of this process
     * @param onChange runs on the loop after a roll-out or a traffic share has changed
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
        loop.scheduleWithFixedDelay(PULL_INTERVAL_MILLIS, service::pullIfBehind);
        return service;
    }

    /** Returns the newest known state of each roll-out. Safe for use from any thread. */
    public List<Rollout> knownRollouts() {
        return mKnownRollouts;
    }

    /**
     * Returns the share of requests that may use a version. The old version is not limited while a
     * roll-out runs, since it serves every chat that the new version does not serve.
     *
     * @param service the service
     * @param version the version
     * @return the share, 0 to 1
     */
    public double permittedShare(ServiceId service, ModelVersion version) {
        Rollout rollout = mTrafficSplit.rollout(service, version.model());
        if (rollout == null) {
            return 1;
        }
        if (version.equals(rollout.to())) {
            return mTrafficSplit.permittedShare(service, version);
        }
        boolean replaced =
                version.equals(rollout.from()) && rollout.status() == RolloutStatus.COMPLETED;
        return replaced ? 0 : 1;
    }

    /** Returns whether a version is being rolled out. */
    public boolean isBeingRolledOut(ServiceId service, ModelVersion version) {
        Rollout rollout = mTrafficSplit.rollout(service, version.model());
        return rollout != null && rollout.isRunning() && version.equals(rollout.to());
    }

    /** Records evidence from one request. */
    public void recordEvidence(EvidenceEvent event) {
        mEvidenceRunner.handleEvent(event);
    }

    /**
     * Merges roll-outs from the local replicated log or a peer into the known ones. Publishes the
     * new revision by gossip if any of them is newer.
     *
     * @param rollouts the roll-outs; older states than the known ones are ignored
     */
    public void mergeRollouts(List<Rollout> rollouts) {
        Map<RolloutKey, Rollout> newest = new LinkedHashMap<>();
        mKnownRollouts.forEach(rollout -> newest.put(rollout.key(), rollout));
        boolean changed = false;
        for (Rollout rollout : rollouts) {
            Rollout known = newest.get(rollout.key());
            if (known != null && known.revision() >= rollout.revision()) {
                continue;
            }
            newest.put(rollout.key(), rollout);
            changed = true;
            logChange(rollout);
        }
        if (!changed) {
            return;
        }
        mKnownRollouts = List.copyOf(newest.values());
        mEvidenceRunner.handleEvent(new EvidenceEvent.RolloutsLearned(rollouts));
        mFleet.handleEvent(
                new MembershipInput.PublishFact(
                        new Fact(
                                GOSSIP_FACT_KEY,
                                latestRevision(),
                                new byte[0],
                                TrafficClass.URGENT)));
        mOnChange.run();
    }

    private void logChange(Rollout rollout) {
        boolean rolledBack =
                rollout.status() == RolloutStatus.ROLLED_BACK
                        || rollout.status() == RolloutStatus.STOPPED;
        mLog.log(
                rolledBack ? LogEvent.ROLLOUT_ROLLED_BACK : LogEvent.ROLLOUT_STAGE_CHANGED,
                "service %s %s to %s: %s share %.2f %s %s",
                rollout.service(),
                rollout.from(),
                rollout.to().version(),
                rollout.status(),
                rollout.share(),
                rollout.reason(),
                rollout.detail());
    }

    private long latestRevision() {
        return mKnownRollouts.stream().mapToLong(Rollout::revision).max().orElse(0);
    }

    /** Pulls from the next reachable peer if gossip reports a higher revision of the roll-outs. */
    private void pullIfBehind() {
        Fact fact = mFleet.view().facts().get(GOSSIP_FACT_KEY);
        if (mPulling || fact == null || fact.version() <= latestRevision()) {
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
        mNetwork.callAsync(peer.info().peerAddress(), client -> toArray(client.fetchRollouts()))
                .whenComplete((bytes, error) -> mLoop.execute(() -> onPulled(bytes)));
    }

    private static byte[] toArray(ByteBuffer buffer) {
        byte[] bytes = new byte[buffer.remaining()];
        buffer.get(bytes);
        return bytes;
    }

    private void onPulled(byte @Nullable [] bytes) {
        mPulling = false;
        if (bytes != null) {
            mergeRollouts(Rollout.decode(bytes));
        }
    }

    private void handleOutput(EvidenceOutput output) {
        if (output instanceof EvidenceOutput.LocallyStopped stopped) {
            mLog.log(
                    LogEvent.ROLLOUT_ROLLED_BACK,
                    "stopped on this instance: %s %s (%s: %s)",
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
                            REPORT_TIMEOUT_MILLIS)
                    .thenAccept(outcome -> mLoop.execute(() -> onReportEnded(id, outcome)));
        }
    }

    private void onReportEnded(String requestId, ProposalOutcome outcome) {
        if (outcome.status() == ProposalStatus.APPLIED) {
            mEvidenceRunner.handleEvent(new EvidenceEvent.ReportEnded(requestId));
        }
    }
}
