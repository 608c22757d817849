package org.hemlockrack.membership;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeSet;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/** The oracle: compares views with the truth of a {@link World} and collects violations. */
final class Checker {
    /** A live, reachable instance must not be dead in a view for longer. */
    static final long WRONG_DEATH_NANOS = 15 * World.SECOND;

    /** R8: no new work for a leaving server after this time. */
    static final long LEAVING_NANOS = 3 * World.SECOND;

    /** Instances must have been up and connected this long to be held to a time bound. */
    static final long STABLE_NANOS = 10 * World.SECOND;

    final TreeSet<String> mKinds = new TreeSet<>();
    final List<String> mViolations = new ArrayList<>();
    long mWrongDeaths;
    long mSuspects;

    /** The zone that is cut and must keep its servers, or -1. */
    int mCutZone = -1;

    /** The isolated instance, or -1. */
    int mIsolated = -1;

    private final World mWorld;
    private final Map<String, Long> mDeadSince = new HashMap<>();
    private final Map<String, Version> mVersions = new HashMap<>();
    private final Map<String, Long> mLeavingSince = new HashMap<>();

    Checker(World world) {
        mWorld = world;
    }

    void bytes(World.Peer peer, long windowBytes) {
        if (windowBytes > ControlBudget.DEFAULT_BYTES_PER_SECOND) {
            violate("BYTES", peer.mInfo.id() + " sent " + windowBytes + " B in 1 s");
        }
    }

    void forget(World.Peer peer) {
        mVersions.keySet().removeIf(key -> key.startsWith(peer.mIndex + " "));
    }

    void announced(World.Server server, World.Peer owner) {
        String key = server.mId + " " + server.mIncarnation;
        if (server.mState == BackendState.LEAVING) {
            mLeavingSince.putIfAbsent(key, mWorld.mNow);
        }
    }

    void check() {
        for (World.Peer peer : mWorld.mPeers) {
            if (peer.runs()) {
                checkVersions(peer);
                checkDeaths(peer);
                checkLeaving(peer);
                checkCut(peer);
            }
        }
    }

    /** Returns the highest configuration number that a live instance holds. */
    long highestConfig() {
        return mWorld.mPeers.stream()
                .filter(peer -> peer.mLive)
                .mapToLong(peer -> peer.view().configVersion())
                .max()
                .orElse(0);
    }

    /**
     * Checks that all views equal the truth; called after everything healed and settled.
     *
     * @param healedAt when everything healed
     * @param config the highest configuration number that a live instance held then; a number that
     *     only crashed instances knew cannot come back (seed 870)
     */
    void checkConverged(long healedAt, long config) {
        for (World.Peer peer : mWorld.mPeers) {
            if (peer.mLive) {
                checkMembers(peer);
                checkServers(peer, healedAt);
                if (peer.view().configVersion() < config) {
                    violate("CONVERGE", peer.mInfo.id() + " lacks the configuration number");
                }
            }
        }
    }

    private void checkMembers(World.Peer peer) {
        for (World.Peer other : mWorld.mPeers) {
            Optional<Member> held = peer.view().member(other.mInfo.id());
            boolean alive = held.isPresent() && held.get().status() == MemberStatus.ALIVE;
            if (alive != other.mLive) {
                String status = held.map(member -> member.status().name()).orElse("unknown");
                violate("CONVERGE", peer.mInfo.id() + " holds " + other.mInfo.id() + " " + status);
            }
        }
    }

    private void checkServers(World.Peer peer, long healedAt) {
        for (World.Server server : mWorld.mServers) {
            if (server.mAnnouncedAt < healedAt) {
                continue;
            }
            Optional<Backend> held = peer.view().backend(server.mId);
            boolean right =
                    held.isPresent()
                            && held.get().state() == server.mState
                            && held.get().version().epoch() == server.mIncarnation;
            if (!right) {
                violate("CONVERGE", peer.mInfo.id() + " holds " + server.mId + " as " + held);
            }
        }
    }

    private void checkVersions(World.Peer peer) {
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

    private void checkVersion(World.Peer peer, String entry, Version version) {
        Version before = mVersions.put(peer.mIndex + " " + entry, version);
        if (before != null && before.compareTo(version) > 0) {
            violate("STALE", peer.mInfo.id() + " went back to " + version + " for " + entry);
        }
    }

    private void checkDeaths(World.Peer peer) {
        for (World.Peer other : mWorld.mPeers) {
            String key = peer.mIndex + " " + other.mIndex;
            Optional<Member> held = peer.view().member(other.mInfo.id());
            MemberStatus status = held.map(Member::status).orElse(MemberStatus.ALIVE);
            boolean reachable = other.runs() && mWorld.linked(peer, other);
            if (status == MemberStatus.SUSPECT && reachable) {
                mSuspects++;
            }
            if (status != MemberStatus.DEAD || !reachable) {
                mDeadSince.remove(key);
                continue;
            }
            long stable = Math.max(peer.mStableSince, other.mStableSince);
            if (stable < mWorld.mNow - STABLE_NANOS && mDeadSince.get(key) == null) {
                mWrongDeaths++;
            }
            long since = Math.max(mDeadSince.computeIfAbsent(key, k -> mWorld.mNow), stable);
            if (mWorld.mNow - since > WRONG_DEATH_NANOS) {
                violate("WRONG_DEATH", peer.mInfo.id() + " holds " + other.mInfo.id() + " dead");
            }
        }
    }

    private void checkLeaving(World.Peer peer) {
        for (World.Server server : mWorld.mServers) {
            Long since = mLeavingSince.get(server.mId + " " + server.mIncarnation);
            boolean due = since != null && since < mWorld.mNow - LEAVING_NANOS;
            if (!due || peer.mStableSince > since - STABLE_NANOS || !allStable(since)) {
                continue;
            }
            Optional<Backend> held = peer.view().backend(server.mId);
            boolean old = held.isPresent() && held.get().state().takesWork();
            if (old && held.get().version().epoch() == server.mIncarnation) {
                violate("LEAVING", peer.mInfo.id() + " sends work to leaving " + server.mId);
            }
        }
    }

    /** Whether nobody was cut off or stopped from shortly before a time until now. */
    private boolean allStable(long since) {
        for (World.Peer peer : mWorld.mPeers) {
            if (peer.mLive && peer.mStableSince > since - STABLE_NANOS) {
                return false;
            }
        }
        return true;
    }

    private void checkCut(World.Peer peer) {
        if (mCutZone >= 0) {
            ZoneId zone = ZoneId.of("z" + mCutZone);
            for (World.Server server : mWorld.mServers) {
                if (server.mZone != mCutZone) {
                    continue;
                }
                Optional<InstanceId> owner =
                        OwnerSelector.selectOwner(peer.view(), server.mId, zone);
                Optional<Member> member = owner.flatMap(peer.view()::member);
                if (member.isPresent() && !member.get().zone().equals(zone)) {
                    violate("CUT_MOVED", peer.mInfo.id() + " moved " + server.mId + " out");
                }
            }
        }
        if (mIsolated == peer.mIndex) {
            long dead =
                    peer.view().members().values().stream()
                            .filter(member -> member.status() == MemberStatus.DEAD)
                            .filter(member -> liveById(member.id()))
                            .count();
            long live = mWorld.mPeers.stream().filter(World.Peer::runs).count() - 1;
            if (dead * 2 > live) {
                violate("ISOLATED", peer.mInfo.id() + " declared " + dead + " dead");
            }
        }
    }

    private boolean liveById(InstanceId id) {
        return mWorld.mPeers.stream().anyMatch(p -> p.mInfo.id().equals(id) && p.runs());
    }

    private void violate(String kind, String text) {
        mKinds.add(kind);
        if (mViolations.size() < 20) {
            mViolations.add(kind + " at " + mWorld.mNow / World.MILLI + " ms: " + text);
        }
    }
}
