package org.hemlockrack.placement.internal;

import java.util.List;

/** Usable servers in one ranking: those of one version in rollout, or all others. */
final class VersionGroup {
    private final double mShare;
    private final long mVersionHash;
    private final ServerCacheState[] mServers;
    private final long[] mHashes;
    private final double[] mWeights;
    private final double mMeanLoadRatio;

    private VersionGroup(double share, long versionHash, List<ServerCacheState> servers) {
        mShare = share;
        mVersionHash = versionHash;
        mServers = servers.toArray(new ServerCacheState[0]);
        mHashes = new long[mServers.length];
        mWeights = new double[mServers.length];
        double sum = 0;
        for (ServerCacheState server : mServers) {
            sum += server.loadRatio();
        }
        mMeanLoadRatio = sum / Math.max(1, mServers.length);
        for (int i = 0; i < mServers.length; i++) {
            mHashes[i] = StableHash.hash(mServers[i].candidate().backend().value());
            mWeights[i] = mServers[i].candidate().weight();
        }
    }

    /**
     * Creates a group.
     *
     * @param share fraction of keys that the group admits
     * @param version seed of the hash that selects these keys, so that versions admit independent
     *     sets
     * @param servers the servers
     * @return the group
     */
    static VersionGroup of(double share, String version, List<ServerCacheState> servers) {
        return new VersionGroup(share, StableHash.hash("gate " + version), servers);
    }

    /** Returns the mean load ratio of the servers. */
    double meanLoadRatio() {
        return mMeanLoadRatio;
    }

    double share() {
        return mShare;
    }

    /** Returns whether the share includes a key; a larger share includes a superset of keys. */
    boolean admits(long key) {
        return mShare >= 1
                || StableHash.toUnitInterval(StableHash.mix(key ^ mVersionHash)) < mShare;
    }

    int size() {
        return mServers.length;
    }

    ServerCacheState server(int i) {
        return mServers[i];
    }

    long hash(int i) {
        return mHashes[i];
    }

    double weight(int i) {
        return mWeights[i];
    }
}
