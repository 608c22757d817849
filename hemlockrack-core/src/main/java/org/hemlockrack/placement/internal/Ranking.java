package org.hemlockrack.placement.internal;

import java.util.Set;
import org.hemlockrack.model.BackendId;

/** The servers with the highest rendezvous scores for one key, best first; reused per decision. */
final class Ranking {
    private ServerState[] mServers = new ServerState[8];
    private double[] mScores = new double[8];
    private int mLimit;
    private int mSize;

    void reset(int limit) {
        if (mServers.length < limit) {
            mServers = new ServerState[limit];
            mScores = new double[limit];
        }
        mLimit = limit;
        mSize = 0;
    }

    int size() {
        return mSize;
    }

    ServerState get(int rank) {
        return mServers[rank];
    }

    /** Ranks the usable servers of a group; the score is {@code weight / -ln(u)}. */
    void rank(VersionGroup group, long key, Set<BackendId> excluded) {
        for (int i = 0; i < group.size(); i++) {
            double u = Mixer.unit(Mixer.mix(key ^ group.hash(i)));
            double weight = group.weight(i);
            // -ln(u) >= 1 - u, so this skips the logarithm for servers that cannot enter the head.
            if (mSize == mLimit && weight <= mScores[mSize - 1] * (1 - u)) {
                continue;
            }
            ServerState server = group.server(i);
            if (!excluded.contains(server.candidate().backend())) {
                // StrictMath gives the same bits on all instances; Math.log need not.
                insert(server, weight / -StrictMath.log(u));
            }
        }
    }

    private void insert(ServerState server, double score) {
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
