package org.hemlockrack.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/**
 * Test oracle: compares the views with the actual state of a {@link Simulation} and collects
 * violations of the invariants.
 */
final class InvariantChecker {
    /** Longest time for which a live, reachable instance may be dead in a view. */
    static final long MAX_WRONG_DEATH_NANOS = 15 * Simulation.SECOND_NANOS;

    /** Longest time for which a leaving server may still receive new work. */
    static final long MAX_LEAVING_WORK_NANOS = 3 * Simulation.SECOND_NANOS;

    /**
     * Time for which instances must have been running and connected before time limits apply to
     * them.
     */
    static final long STABLE_NANOS = 10 * Simulation.SECOND_NANOS;

    final TreeSet<String> mKinds = new TreeSet<>();
    final List<String> mViolations = new ArrayList<>();
    long mWrongDeaths;
    long mSuspects;

    /** The partitioned zone that must keep its servers, or -1. */
    int mPartitionedZone = -1;

    /** The isolated instance, or -1. */
    int mIsolatedPeer = -1;

    private final Simulation mSimulation;
    private final Map<String, Long> mDeadSinceNanos = new HashMap<>();
    private final Map<String, Version> mVersions = new HashMap<>();
    private final Map<String, Long> mLeavingSinceNanos = new HashMap<>();

    InvariantChecker(Simulation simulation) {
        mSimulation = simulation;
    }

    void checkWindowBytes(Simulation.Peer peer, long windowBytes) {
        if (windowBytes > ControlBudget.DEFAULT_BYTES_PER_SECOND) {
            addViolation("BYTES", peer.mInfo.id() + " sent " + windowBytes + " B in 1 s");
        }
    }

    void forget(Simulation.Peer peer) {
        mVersions.keySet().removeIf(key -> key.startsWith(peer.mIndex + " "));
    }

    void onAnnounced(Simulation.Server server, Simulation.Peer owner) {
        String key = server.mId + " " + server.mIncarnation;
        if (server.mState == BackendState.LEAVING) {
            mLeavingSinceNanos.putIfAbsent(key, mSimulation.mNowNanos);
        }
    }

    void check() {
        for (Simulation.Peer peer : mSimulation.mPeers) {
            if (peer.isRunning()) {
                checkVersions(peer);
                checkDeaths(peer);
                checkLeaving(peer);
                checkPartitions(peer);
            }
        }
    }

    /** Returns the highest configuration version that a live instance holds. */
    long highestConfigVersion() {
        return mSimulation.mPeers.stream()
                .filter(peer -> peer.mLive)
                .mapToLong(peer -> peer.view().configVersion())
                .max()
                .orElse(0);
    }

    /**
     * Checks that all views match the actual state; called when they have had time to converge
     * after the last fault.
     *
     * @param healedAtNanos when all faults ended
     * @param configVersion the highest configuration version that a live instance held then; a
     *     version that only crashed instances held is lost (seed 870)
     */
    void checkConverged(long healedAtNanos, long configVersion) {
        for (Simulation.Peer peer : mSimulation.mPeers) {
            if (peer.mLive) {
                checkMembers(peer);
                checkServers(peer, healedAtNanos);
                if (peer.view().configVersion() < configVersion) {
                    addViolation("CONVERGE", peer.mInfo.id() + " lacks the configuration version");
                }
            }
        }
    }

    private void checkMembers(Simulation.Peer peer) {
        for (Simulation.Peer other : mSimulation.mPeers) {
            Optional<Member> held = peer.view().member(other.mInfo.id());
            boolean alive = held.isPresent() && held.get().status() == MemberStatus.ALIVE;
            if (alive != other.mLive) {
                String status = held.map(member -> member.status().name()).orElse("unknown");
                addViolation(
                        "CONVERGE", peer.mInfo.id() + " holds " + other.mInfo.id() + " " + status);
            }
        }
    }

    private void checkServers(Simulation.Peer peer, long healedAtNanos) {
        for (Simulation.Server server : mSimulation.mServers) {
            if (server.mAnnouncedAtNanos < healedAtNanos) {
                continue;
            }
            Optional<Backend> held = peer.view().backend(server.mId);
            boolean matches =
                    held.isPresent()
                            && held.get().state() == server.mState
                            && held.get().version().epoch() == server.mIncarnation;
            if (!matches) {
                addViolation("CONVERGE", peer.mInfo.id() + " holds " + server.mId + " as " + held);
            }
        }
    }

    private void checkVersions(Simulation.Peer peer) {
        MembershipView view = peer.view();
        for (Member member : view.members().values()) {
            checkVersion(peer, "m" + member.id(), member.incarnation());
        }
        for (Backend backend : view.backends().values()) {
            checkVersion(peer, "b" + backend.id(), backend.version());
        }
        for (Fact fact : view.facts().values()) {
            checkVersion(peer, "f" + fact.key(), Version.of(fact.version(), 0));
        }
    }

    private void checkVersion(Simulation.Peer peer, String entry, Version version) {
        Version before = mVersions.put(peer.mIndex + " " + entry, version);
        if (before != null && before.compareTo(version) > 0) {
            addViolation("STALE", peer.mInfo.id() + " went back to " + version + " for " + entry);
        }
    }

    private void checkDeaths(Simulation.Peer peer) {
        for (Simulation.Peer other : mSimulation.mPeers) {
            String key = peer.mIndex + " " + other.mIndex;
            Optional<Member> held = peer.view().member(other.mInfo.id());
            MemberStatus status = held.map(Member::status).orElse(MemberStatus.ALIVE);
            boolean reachable = other.isRunning() && mSimulation.areLinked(peer, other);
            if (status == MemberStatus.SUSPECT && reachable) {
                mSuspects++;
            }
            if (status != MemberStatus.DEAD || !reachable) {
                mDeadSinceNanos.remove(key);
                continue;
            }
            long stableSinceNanos = Math.max(peer.mStableSinceNanos, other.mStableSinceNanos);
            if (stableSinceNanos < mSimulation.mNowNanos - STABLE_NANOS
                    && mDeadSinceNanos.get(key) == null) {
                mWrongDeaths++;
            }
            long sinceNanos =
                    Math.max(
                            mDeadSinceNanos.computeIfAbsent(key, k -> mSimulation.mNowNanos),
                            stableSinceNanos);
            if (mSimulation.mNowNanos - sinceNanos > MAX_WRONG_DEATH_NANOS) {
                addViolation(
                        "WRONG_DEATH", peer.mInfo.id() + " holds " + other.mInfo.id() + " dead");
            }
        }
    }

    private void checkLeaving(Simulation.Peer peer) {
        for (Simulation.Server server : mSimulation.mServers) {
            Long sinceNanos = mLeavingSinceNanos.get(server.mId + " " + server.mIncarnation);
            boolean isDue =
                    sinceNanos != null
                            && sinceNanos < mSimulation.mNowNanos - MAX_LEAVING_WORK_NANOS;
            if (!isDue
                    || peer.mStableSinceNanos > sinceNanos - STABLE_NANOS
                    || !areAllStable(sinceNanos)) {
                continue;
            }
            Optional<Backend> held = peer.view().backend(server.mId);
            boolean acceptsWork = held.isPresent() && held.get().state().acceptsRequests();
            if (acceptsWork && held.get().version().epoch() == server.mIncarnation) {
                addViolation("LEAVING", peer.mInfo.id() + " sends work to leaving " + server.mId);
            }
        }
    }

    /**
     * Returns whether no live instance was disconnected or paused from shortly before a time until
     * now.
     */
    private boolean areAllStable(long sinceNanos) {
        for (Simulation.Peer peer : mSimulation.mPeers) {
            if (peer.mLive && peer.mStableSinceNanos > sinceNanos - STABLE_NANOS) {
                return false;
            }
        }
        return true;
    }

    private void checkPartitions(Simulation.Peer peer) {
        if (mPartitionedZone >= 0) {
            ZoneId zone = ZoneId.of("z" + mPartitionedZone);
            for (Simulation.Server server : mSimulation.mServers) {
                if (server.mZone != mPartitionedZone) {
                    continue;
                }
                Optional<InstanceId> owner =
                        OwnerSelector.selectOwner(peer.view(), server.mId, zone);
                Optional<Member> member = owner.flatMap(peer.view()::member);
                if (member.isPresent() && !member.get().zone().equals(zone)) {
                    addViolation(
                            "CUT_MOVED",
                            peer.mInfo.id() + " moved " + server.mId + " out of its zone");
                }
            }
        }
        if (mIsolatedPeer == peer.mIndex) {
            long dead =
                    peer.view().members().values().stream()
                            .filter(member -> member.status() == MemberStatus.DEAD)
                            .filter(member -> isRunning(member.id()))
                            .count();
            long live = mSimulation.mPeers.stream().filter(Simulation.Peer::isRunning).count() - 1;
            if (dead * 2 > live) {
                addViolation("ISOLATED", peer.mInfo.id() + " declared " + dead + " dead");
            }
        }
    }

    private boolean isRunning(InstanceId id) {
        return mSimulation.mPeers.stream().anyMatch(p -> p.mInfo.id().equals(id) && p.isRunning());
    }

    private void addViolation(String kind, String text) {
        mKinds.add(kind);
        if (mViolations.size() < 20) {
            mViolations.add(
                    kind
                            + " at "
                            + mSimulation.mNowNanos / Simulation.MILLI_NANOS
                            + " ms: "
                            + text);
        }
    }
}
