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

/** The known servers by identity and slot, and the groups that requests choose from. */
final class Directory {
    private static final int NOT_COLD = -1;

    /** Identity of a candidate: each version of a model has its own cache. */
    record ServerKey(ServiceId service, ModelVersion modelVersion, BackendId backend) {}

    private record PoolKey(ServiceId service, String model) {}

    private final int mForgetTicks;
    private final Map<ServerKey, ServerState> mServers = new HashMap<>();
    private final List<@Nullable ServerState> mSlots = new ArrayList<>();
    private final Deque<Integer> mFreeSlots = new ArrayDeque<>();
    private Map<PoolKey, List<VersionGroup>> mPools = Map.of();
    private boolean mStarted;

    private Directory(int forgetTicks) {
        mForgetTicks = forgetTicks;
    }

    static Directory create(int forgetTicks) {
        return new Directory(forgetTicks);
    }

    void update(int tick, List<Candidate> candidates) {
        // A fixed order makes equal scores resolve alike on all instances.
        List<Candidate> sorted = new ArrayList<>(candidates);
        sorted.sort(Comparator.comparing(Candidate::backend));
        Map<PoolKey, List<ServerState>> pools = new HashMap<>();
        for (Candidate candidate : sorted) {
            ServerState server = list(tick, candidate);
            if (candidate.isUsable()) {
                PoolKey pool = new PoolKey(candidate.service(), candidate.modelVersion().model());
                pools.computeIfAbsent(pool, key -> new ArrayList<>()).add(server);
            }
        }
        mStarted = true;
        forget(tick);
        Map<PoolKey, List<VersionGroup>> groups = new HashMap<>();
        pools.forEach((key, servers) -> groups.put(key, group(servers)));
        mPools = groups;
    }

    List<VersionGroup> groups(ServiceId service, String model) {
        return mPools.getOrDefault(new PoolKey(service, model), List.of());
    }

    @Nullable ServerState find(ServiceId service, ModelVersion modelVersion, BackendId backend) {
        return mServers.get(new ServerKey(service, modelVersion, backend));
    }

    private ServerState list(int tick, Candidate candidate) {
        ServerKey key =
                new ServerKey(candidate.service(), candidate.modelVersion(), candidate.backend());
        ServerState server = mServers.get(key);
        if (server == null) {
            server = allocate(tick, candidate);
            mServers.put(key, server);
        }
        server.list(candidate, tick);
        return server;
    }

    private ServerState allocate(int tick, Candidate candidate) {
        boolean reused = !mFreeSlots.isEmpty();
        int slot = reused ? mFreeSlots.remove() : mSlots.size();
        // The cold time also hides entries of the slot's former server. At start-up servers are
        // older than this instance, and only the instance is new.
        ServerState server = ServerState.of(slot, candidate, mStarted ? tick : NOT_COLD);
        if (reused) {
            mSlots.set(slot, server);
        } else {
            mSlots.add(server);
        }
        return server;
    }

    private void forget(int tick) {
        Iterator<ServerState> it = mServers.values().iterator();
        while (it.hasNext()) {
            ServerState server = it.next();
            if (tick - server.listedTick() > mForgetTicks) {
                it.remove();
                mSlots.set(server.slot(), null);
                mFreeSlots.add(server.slot());
            }
        }
    }

    private List<VersionGroup> group(List<ServerState> servers) {
        List<ServerState> open = new ArrayList<>();
        Map<String, List<ServerState>> gated = new TreeMap<>();
        for (ServerState server : servers) {
            Candidate candidate = server.candidate();
            if (candidate.permittedShare() >= 1) {
                open.add(server);
            } else {
                String version = candidate.modelVersion().version();
                gated.computeIfAbsent(version, key -> new ArrayList<>()).add(server);
            }
        }
        List<VersionGroup> groups = new ArrayList<>();
        gated.forEach((version, list) -> groups.add(gatedGroup(version, list)));
        groups.sort(Comparator.comparingDouble(VersionGroup::share));
        groups.add(VersionGroup.of(1, "", open));
        return groups;
    }

    /** The smallest share counts where summaries of one version still disagree. */
    private VersionGroup gatedGroup(String version, List<ServerState> servers) {
        double share = 1;
        for (ServerState server : servers) {
            share = Math.min(share, server.candidate().permittedShare());
        }
        return VersionGroup.of(share, version, servers);
    }
}
