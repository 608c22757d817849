package org.hemlockrack.placement.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.placement.Candidate;
import org.jspecify.annotations.Nullable;

/**
 * The servers by identity and slot, and the groups of usable servers for each service and model.
 */
final class CandidateDirectory {
    private static final int NOT_COLD = -1;

    /** Identity of a candidate; includes the version, because each version has its own cache. */
    record ServerKey(ServiceId service, ModelVersion modelVersion, BackendId backend) {}

    private record PoolKey(ServiceId service, String model) {}

    private final int mRetentionTicks;
    private final Map<ServerKey, ServerCacheState> mServers = new HashMap<>();
    private final List<@Nullable ServerCacheState> mSlots = new ArrayList<>();
    private final Deque<Integer> mFreeSlots = new ArrayDeque<>();
    private Map<PoolKey, List<VersionGroup>> mGroups = Map.of();
    private boolean mStarted;

    private CandidateDirectory(int retentionTicks) {
        mRetentionTicks = retentionTicks;
    }

    static CandidateDirectory create(int retentionTicks) {
        return new CandidateDirectory(retentionTicks);
    }

    void update(int tick, List<Candidate> candidates) {
        // A fixed order resolves equal scores in the same way on all instances.
        List<Candidate> sorted = new ArrayList<>(candidates);
        sorted.sort(Comparator.comparing(Candidate::backend));
        Map<PoolKey, List<ServerCacheState>> usable = new HashMap<>();
        for (Candidate candidate : sorted) {
            ServerCacheState server = listCandidate(tick, candidate);
            if (candidate.isUsable()) {
                PoolKey pool = new PoolKey(candidate.service(), candidate.modelVersion().model());
                usable.computeIfAbsent(pool, key -> new ArrayList<>()).add(server);
            }
        }
        mStarted = true;
        removeUnlisted(tick);
        Map<PoolKey, List<VersionGroup>> groups = new HashMap<>();
        usable.forEach((key, servers) -> groups.put(key, groupByVersion(servers)));
        mGroups = groups;
    }

    List<VersionGroup> groups(ServiceId service, String model) {
        return mGroups.getOrDefault(new PoolKey(service, model), List.of());
    }

    @Nullable ServerCacheState find(
            ServiceId service, ModelVersion modelVersion, BackendId backend) {
        return mServers.get(new ServerKey(service, modelVersion, backend));
    }

    private ServerCacheState listCandidate(int tick, Candidate candidate) {
        ServerKey key =
                new ServerKey(candidate.service(), candidate.modelVersion(), candidate.backend());
        ServerCacheState server = mServers.get(key);
        if (server == null) {
            server = allocate(tick, candidate);
            mServers.put(key, server);
        }
        server.updateListing(candidate, tick);
        return server;
    }

    private ServerCacheState allocate(int tick, Candidate candidate) {
        boolean reused = !mFreeSlots.isEmpty();
        int slot = reused ? mFreeSlots.remove() : mSlots.size();
        // The cold tick also invalidates table entries of the slot's previous server. Servers of
        // the first update are not cold: they were running before this instance started.
        ServerCacheState server = ServerCacheState.of(slot, candidate, mStarted ? tick : NOT_COLD);
        if (reused) {
            mSlots.set(slot, server);
        } else {
            mSlots.add(server);
        }
        return server;
    }

    private void removeUnlisted(int tick) {
        Iterator<ServerCacheState> it = mServers.values().iterator();
        while (it.hasNext()) {
            ServerCacheState server = it.next();
            if (tick - server.lastListedTick() > mRetentionTicks) {
                it.remove();
                mSlots.set(server.slot(), null);
                mFreeSlots.add(server.slot());
            }
        }
    }

    private List<VersionGroup> groupByVersion(List<ServerCacheState> servers) {
        List<ServerCacheState> ungated = new ArrayList<>();
        Map<String, List<ServerCacheState>> gated = new TreeMap<>();
        for (ServerCacheState server : servers) {
            Candidate candidate = server.candidate();
            if (candidate.permittedShare() >= 1) {
                ungated.add(server);
            } else {
                String version = candidate.modelVersion().version();
                gated.computeIfAbsent(version, key -> new ArrayList<>()).add(server);
            }
        }
        List<VersionGroup> groups = new ArrayList<>();
        gated.forEach((version, list) -> groups.add(gatedGroup(version, list)));
        groups.sort(Comparator.comparingDouble(VersionGroup::share));
        groups.add(VersionGroup.of(1, "", ungated));
        return groups;
    }

    /** Uses the smallest share while the candidates of one version still state different shares. */
    private VersionGroup gatedGroup(String version, List<ServerCacheState> servers) {
        double share = 1;
        for (ServerCacheState server : servers) {
            share = Math.min(share, server.candidate().permittedShare());
        }
        return VersionGroup.of(share, version, servers);
    }
}
