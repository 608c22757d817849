package org.hemlockrack.placement.internal;

import java.util.Set;
import org.hemlockrack.model.BackendId;

/** The servers with the highest rendezvous scores for one key, best first. Reused for each key. */
final class Ranking {
    private ServerCacheState[] mServers = new ServerCacheState[8];
    private double[] mScores = new double[8];
    private int mLimit;
    private int mSize;

    void reset(int limit) {
        if (mServers.length < limit) {
            mServers = new ServerCacheState[limit];
            mScores = new double[limit];
        }
        mLimit = limit;
        mSize = 0;
    }

    int size() {
        return mSize;
    }

    ServerCacheState get(int rank) {
        return mServers[rank];
    }

    /** Adds the servers of a group with the score {@code weight / -ln(u)}, u uniform in (0, 1). */
    void addGroup(VersionGroup group, long key, Set<BackendId> excluded) {
        for (int i = 0; i < group.size(); i++) {
            double u = StableHash.toUnitInterval(StableHash.mix(key ^ group.hash(i)));
            double weight = group.weight(i);
            // -ln(u) >= 1 - u: skips the logarithm for servers whose score is too low in any case.
            if (mSize == mLimit && weight <= mScores[mSize - 1] * (1 - u)) {
                continue;
            }
            ServerCacheState server = group.server(i);
            if (!excluded.contains(server.candidate().backend())) {
                // StrictMath returns identical results on all platforms; Math.log may not.
                insert(server, weight / -StrictMath.log(u));
            }
        }
    }

    private void insert(ServerCacheState server, double score) {
        if (mSize == mLimit && score <= mScores[mSize - 1]) {
            return;
        }
        int at = mSize < mLimit ? mSize++ : mSize - 1;
        while (at > 0 && mScores[at - 1] < score) {
            mScores[at] = mScores[at - 1];
            mServers[at] = mServers[at - 1];
            at--;
        }
        mScores[at] = score;
        mServers[at] = server;
    }
}
