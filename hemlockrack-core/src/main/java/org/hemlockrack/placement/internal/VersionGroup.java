package org.hemlockrack.placement.internal;

import java.util.List;

/** Usable servers that compete in one ranking: one gated version, or all ungated ones. */
final class VersionGroup {
    private final double mShare;
    private final long mGateHash;
    private final ServerState[] mServers;
    private final long[] mHashes;
    private final double[] mWeights;
    private final double mMeanRatio;

    private VersionGroup(double share, long gateHash, List<ServerState> servers) {
        mShare = share;
        mGateHash = gateHash;
        mServers = servers.toArray(new ServerState[0]);
        mHashes = new long[mServers.length];
        mWeights = new double[mServers.length];
        double sum = 0;
        for (ServerState server : mServers) {
            sum += server.loadRatio();
        }
        mMeanRatio = sum / Math.max(1, mServers.length);
        for (int i = 0; i < mServers.length; i++) {
            mHashes[i] = Mixer.hash(mServers[i].candidate().backend().value());
            mWeights[i] = mServers[i].candidate().weight();
        }
    }

    /**
     * Creates a group.
     *
     * @param version version that seeds the gate, so that gates of versions are independent
     */
    static VersionGroup of(double share, String version, List<ServerState> servers) {
        return new VersionGroup(share, Mixer.hash("gate " + version), servers);
    }

    /** Returns the mean load per slot of the servers. */
    double meanRatio() {
        return mMeanRatio;
    }

    double share() {
        return mShare;
    }

    /** Returns whether the gate admits a key; a larger share admits a superset of keys. */
    boolean admits(long key) {
        return mShare >= 1 || Mixer.unit(Mixer.mix(key ^ mGateHash)) < mShare;
    }

    int size() {
        return mServers.length;
    }

    ServerState server(int i) {
        return mServers[i];
    }

    long hash(int i) {
        return mHashes[i];
    }

    double weight(int i) {
        return mWeights[i];
    }
}
