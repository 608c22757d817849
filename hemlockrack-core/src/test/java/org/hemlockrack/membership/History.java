package org.hemlockrack.membership;

import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.TreeSet;
import org.hemlockrack.membership.internal.GossipRules;

/** One seeded history: faults for a while, then everything heals and the views must converge. */
final class History {
    /** Views must equal the truth this long after everything healed. */
    static final long CONVERGE_NANOS = 25 * World.SECOND;

    final World mWorld;
    final Map<String, Integer> mSteps = new TreeMap<>();

    private History(long seed, GossipRules rules, long budget) {
        int instances = 3 + (int) Math.floorMod(seed, 10L);
        int zones = Math.min(3, 1 + instances / 3);
        mWorld = new World(seed, instances, zones, rules, budget);
    }

    static History run(long seed, GossipRules rules) {
        return run(seed, rules, ControlBudget.DEFAULT_BYTES_PER_SECOND);
    }

    static History run(long seed, GossipRules rules, long budget) {
        History history = new History(seed, rules, budget);
        history.run();
        return history;
    }

    TreeSet<String> kinds() {
        return mWorld.mChecker.mKinds;
    }

    List<String> violations() {
        return mWorld.mChecker.mViolations;
    }

    private void run() {
        mWorld.run(12 * World.SECOND);
        for (int i = 0; i < 6; i++) {
            step();
        }
        mWorld.heal();
        mWorld.mChecker.mCutZone = -1;
        mWorld.mChecker.mIsolated = -1;
        long healedAt = mWorld.mNow;
        long config = mWorld.mChecker.highestConfig();
        mWorld.run(CONVERGE_NANOS);
        mWorld.mChecker.checkConverged(healedAt, config);
    }

    private void step() {
        World world = mWorld;
        world.mLoss = world.mRandom.nextDouble() * 0.2;
        world.mDuplicate = world.mRandom.nextDouble() * 0.1;
        world.mLate = world.mRandom.nextDouble() * 0.05;
        World.Peer peer = world.mPeers.get(world.mRandom.nextInt(world.mPeers.size()));
        World.Server server = world.mServers.get(world.mRandom.nextInt(world.mServers.size()));
        String name =
                switch (world.mRandom.nextInt(10)) {
                    case 0 -> crash(peer);
                    case 1 -> restart(peer);
                    case 2 -> freeze(peer);
                    case 3 -> cutZone(peer.mZone);
                    case 4 -> isolate(peer);
                    case 5 -> flap(peer);
                    case 6 -> leave(peer);
                    case 7 -> serverRestarts(server);
                    case 8 -> publish(peer);
                    default -> serverLeaves(server);
                };
        mSteps.merge(name, 1, Integer::sum);
        world.run(World.SECOND + world.mRandom.nextLong(4 * World.SECOND));
    }

    private String crash(World.Peer peer) {
        peer.crash();
        return "crash";
    }

    private String restart(World.Peer peer) {
        if (peer.mLive) {
            peer.crash();
        }
        mWorld.run(mWorld.mRandom.nextLong(6 * World.SECOND));
        peer.start();
        return "restart";
    }

    private String freeze(World.Peer peer) {
        if (peer.mLive) {
            peer.freeze();
            mWorld.run(mWorld.mRandom.nextLong(12 * World.SECOND));
            peer.thaw();
        }
        return "freeze";
    }

    private String cutZone(int zone) {
        long live = mWorld.mPeers.stream().filter(p -> p.mZone == zone && p.runs()).count();
        boolean settled =
                mWorld.mPeers.stream()
                        .allMatch(p -> p.mLive && p.mStableSince < mWorld.mNow - 10 * World.SECOND);
        if (!settled && mWorld.mRandom.nextBoolean()) {
            mWorld.run(12 * World.SECOND);
        }
        mWorld.cutZone(zone, true);
        // A zone of one instance cannot be told from a crash; see Rules.groupCut.
        if (live >= 2 && settled) {
            mWorld.mChecker.mCutZone = zone;
        }
        mWorld.run(5 * World.SECOND + mWorld.mRandom.nextLong(15 * World.SECOND));
        mWorld.mChecker.mCutZone = -1;
        mWorld.cutZone(zone, false);
        return "zone cut";
    }

    private String isolate(World.Peer peer) {
        peer.mGroup = 100 + peer.mIndex;
        peer.mStableSince = peer.mLive ? mWorld.mNow : Long.MAX_VALUE;
        long live = mWorld.mPeers.stream().filter(World.Peer::runs).count();
        mWorld.mChecker.mIsolated = live >= 3 && peer.mLive ? peer.mIndex : -1;
        mWorld.run(4 * World.SECOND + mWorld.mRandom.nextLong(12 * World.SECOND));
        mWorld.mChecker.mIsolated = -1;
        peer.mGroup = 0;
        peer.mStableSince = peer.mLive ? mWorld.mNow : Long.MAX_VALUE;
        return "isolation";
    }

    private String flap(World.Peer peer) {
        for (int i = 0; i < 3 && peer.mLive; i++) {
            peer.freeze();
            mWorld.run(500 * World.MILLI + mWorld.mRandom.nextLong(6 * World.SECOND));
            peer.thaw();
            mWorld.run(mWorld.mRandom.nextLong(2 * World.SECOND));
        }
        return "flap";
    }

    private String leave(World.Peer peer) {
        if (peer.runs()) {
            peer.event(new MembershipInput.Leave());
            mWorld.run(World.SECOND);
            peer.crash();
        }
        return "leave";
    }

    private String serverRestarts(World.Server server) {
        server.mIncarnation++;
        server.mState = BackendState.READY;
        return "server restart";
    }

    private String serverLeaves(World.Server server) {
        server.mState = BackendState.LEAVING;
        return "server leaves";
    }

    private String publish(World.Peer peer) {
        if (peer.runs()) {
            mWorld.mConfig++;
            mWorld.publish(peer, Fact.ofConfigVersion(mWorld.mConfig));
        }
        return "publish";
    }
}
