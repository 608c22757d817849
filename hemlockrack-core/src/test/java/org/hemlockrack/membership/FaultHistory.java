package org.hemlockrack.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hemlockrack.membership.internal.GossipRules;

/**
 * One simulated history with random faults from a seed. When all faults have ended, the views must
 * converge.
 */
final class FaultHistory {
    /** Time after the end of all faults in which the views must converge to the actual state. */
    static final long CONVERGE_NANOS = 25 * Simulation.SECOND_NANOS;

    final Simulation mSimulation;
    final Map<String, Integer> mSteps = new TreeMap<>();

    private FaultHistory(long seed, GossipRules rules, long budget) {
        int instances = 3 + (int) Math.floorMod(seed, 10L);
        int zones = Math.min(3, 1 + instances / 3);
        mSimulation = new Simulation(seed, instances, zones, rules, budget);
    }

    static FaultHistory run(long seed, GossipRules rules) {
        return run(seed, rules, ControlBudget.DEFAULT_BYTES_PER_SECOND);
    }

    static FaultHistory run(long seed, GossipRules rules, long budget) {
        FaultHistory history = new FaultHistory(seed, rules, budget);
        history.run();
        return history;
    }

    TreeSet<String> violationKinds() {
        return mSimulation.mChecker.mKinds;
    }

    List<String> violations() {
        return mSimulation.mChecker.mViolations;
    }

    private void run() {
        mSimulation.run(12 * Simulation.SECOND_NANOS);
        for (int i = 0; i < 6; i++) {
            runRandomFault();
        }
        mSimulation.heal();
        mSimulation.mChecker.mPartitionedZone = -1;
        mSimulation.mChecker.mIsolatedPeer = -1;
        long healedAtNanos = mSimulation.mNowNanos;
        long configVersion = mSimulation.mChecker.highestConfigVersion();
        mSimulation.run(CONVERGE_NANOS);
        mSimulation.mChecker.checkConverged(healedAtNanos, configVersion);
    }

    private void runRandomFault() {
        Simulation simulation = mSimulation;
        simulation.mLossRate = simulation.mRandom.nextDouble() * 0.2;
        simulation.mDuplicateRate = simulation.mRandom.nextDouble() * 0.1;
        simulation.mLateRate = simulation.mRandom.nextDouble() * 0.05;
        Simulation.Peer peer =
                simulation.mPeers.get(simulation.mRandom.nextInt(simulation.mPeers.size()));
        Simulation.Server server =
                simulation.mServers.get(simulation.mRandom.nextInt(simulation.mServers.size()));
        String name =
                switch (simulation.mRandom.nextInt(10)) {
                    case 0 -> crash(peer);
                    case 1 -> restart(peer);
                    case 2 -> pause(peer);
                    case 3 -> partitionZone(peer.mZone);
                    case 4 -> isolate(peer);
                    case 5 -> flap(peer);
                    case 6 -> leave(peer);
                    case 7 -> restartServer(server);
                    case 8 -> publish(peer);
                    default -> drainServer(server);
                };
        mSteps.merge(name, 1, Integer::sum);
        simulation.run(
                Simulation.SECOND_NANOS + simulation.mRandom.nextLong(4 * Simulation.SECOND_NANOS));
    }

    private String crash(Simulation.Peer peer) {
        peer.crash();
        return "crash";
    }

    private String restart(Simulation.Peer peer) {
        if (peer.mLive) {
            peer.crash();
        }
        mSimulation.run(mSimulation.mRandom.nextLong(6 * Simulation.SECOND_NANOS));
        peer.start();
        return "restart";
    }

    private String pause(Simulation.Peer peer) {
        if (peer.mLive) {
            peer.pause();
            mSimulation.run(mSimulation.mRandom.nextLong(12 * Simulation.SECOND_NANOS));
            peer.resume();
        }
        return "freeze";
    }

    private String partitionZone(int zone) {
        long live =
                mSimulation.mPeers.stream().filter(p -> p.mZone == zone && p.isRunning()).count();
        boolean isStable =
                mSimulation.mPeers.stream()
                        .allMatch(
                                p ->
                                        p.mLive
                                                && p.mStableSinceNanos
                                                        < mSimulation.mNowNanos
                                                                - 10 * Simulation.SECOND_NANOS);
        if (!isStable && mSimulation.mRandom.nextBoolean()) {
            mSimulation.run(12 * Simulation.SECOND_NANOS);
        }
        mSimulation.setZonePartitioned(zone, true);
        // The partition of a zone with one instance cannot be distinguished from a crash; see
        // GossipRules.isGroupUnreachable.
        if (live >= 2 && isStable) {
            mSimulation.mChecker.mPartitionedZone = zone;
        }
        mSimulation.run(
                5 * Simulation.SECOND_NANOS
                        + mSimulation.mRandom.nextLong(15 * Simulation.SECOND_NANOS));
        mSimulation.mChecker.mPartitionedZone = -1;
        mSimulation.setZonePartitioned(zone, false);
        return "zone cut";
    }

    private String isolate(Simulation.Peer peer) {
        peer.mGroup = 100 + peer.mIndex;
        peer.mStableSinceNanos = peer.mLive ? mSimulation.mNowNanos : Long.MAX_VALUE;
        long live = mSimulation.mPeers.stream().filter(Simulation.Peer::isRunning).count();
        mSimulation.mChecker.mIsolatedPeer = live >= 3 && peer.mLive ? peer.mIndex : -1;
        mSimulation.run(
                4 * Simulation.SECOND_NANOS
                        + mSimulation.mRandom.nextLong(12 * Simulation.SECOND_NANOS));
        mSimulation.mChecker.mIsolatedPeer = -1;
        peer.mGroup = 0;
        peer.mStableSinceNanos = peer.mLive ? mSimulation.mNowNanos : Long.MAX_VALUE;
        return "isolation";
    }

    private String flap(Simulation.Peer peer) {
        for (int i = 0; i < 3 && peer.mLive; i++) {
            peer.pause();
            mSimulation.run(
                    500 * Simulation.MILLI_NANOS
                            + mSimulation.mRandom.nextLong(6 * Simulation.SECOND_NANOS));
            peer.resume();
            mSimulation.run(mSimulation.mRandom.nextLong(2 * Simulation.SECOND_NANOS));
        }
        return "flap";
    }

    private String leave(Simulation.Peer peer) {
        if (peer.isRunning()) {
            peer.sendEvent(new MembershipInput.Leave());
            mSimulation.run(Simulation.SECOND_NANOS);
            peer.crash();
        }
        return "leave";
    }

    private String restartServer(Simulation.Server server) {
        server.mIncarnation++;
        server.mState = BackendState.READY;
        return "server restart";
    }

    private String drainServer(Simulation.Server server) {
        server.mState = BackendState.LEAVING;
        return "server leaves";
    }

    private String publish(Simulation.Peer peer) {
        if (peer.isRunning()) {
            mSimulation.mConfigVersion++;
            mSimulation.publish(peer, Fact.ofConfigVersion(mSimulation.mConfigVersion));
        }
        return "publish";
    }
}
