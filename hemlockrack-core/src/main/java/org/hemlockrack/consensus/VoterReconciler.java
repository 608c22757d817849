package org.hemlockrack.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the number of voters up while instances are replaced by others. Runs on the leader, which
 * proposes one change at a time; a change that is not possible yet is refused there and proposed
 * again. A voter is removed only once another one has taken its place, because a removed replica
 * that was merely out of reach has to join anew. Not thread-safe; time is monotonic and passed in.
 */
public final class VoterReconciler {
    /** Voters while fewer than five controllers exist; bears the loss of one. */
    private static final int FEW_VOTERS = 3;

    /** Voters with five controllers and more; bears the loss of two. */
    private static final int MANY_VOTERS = 5;

    /** A voter out of reach for longer is replaced by an instance that has just come. */
    private static final long LOST_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /** A voter out of reach for longer is replaced by any instance; pauses are shorter. */
    private static final long GONE_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** An instance first seen within this time counts as one that has just come. */
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final Map<InstanceId, Long> mReachedNanos = new HashMap<>();
    private final Map<InstanceId, Long> mFirstSeenNanos = new HashMap<>();

    private VoterReconciler() {}

    /** Creates a keeper that has seen nobody. */
    public static VoterReconciler create() {
        return new VoterReconciler();
    }

    /**
     * Notes which controllers answer.
     *
     * @param nowNanos monotonic time
     * @param answering the controllers that answer now, this one included
     */
    public void recordResponsive(long nowNanos, Set<InstanceId> answering) {
        for (InstanceId instance : answering) {
            mReachedNanos.put(instance, nowNanos);
            mFirstSeenNanos.putIfAbsent(instance, nowNanos);
        }
    }

    /**
     * Decides the next change.
     *
     * @param nowNanos monotonic time
     * @param membership the members in force
     * @param answering the controllers that answer now, this one included
     * @return the change, or null if the voters are as they should be
     */
    public @Nullable VoterChange nextChange(
            long nowNanos, Membership membership, Set<InstanceId> answering) {
        int wanted = answering.size() < MANY_VOTERS ? FEW_VOTERS : MANY_VOTERS;
        int voters = membership.voters().size();
        InstanceId lost = longestLost(nowNanos, membership);
        if (lost != null && voters > wanted && unreachedNanos(nowNanos, lost) >= LOST_NANOS) {
            return new VoterChange(VoterChange.Action.REMOVE, lost);
        }
        for (InstanceId instance : answering) {
            if (membership.memberOf(instance, true).isPresent()) {
                continue;
            }
            if (membership.memberOf(instance, false).isEmpty()) {
                return new VoterChange(VoterChange.Action.ADD_LEARNER, instance);
            }
            if (voters < wanted || replaces(nowNanos, instance, lost)) {
                return new VoterChange(VoterChange.Action.PROMOTE, instance);
            }
        }
        return null;
    }

    private boolean replaces(long nowNanos, InstanceId instance, @Nullable InstanceId lost) {
        if (lost == null) {
            return false;
        }
        Long firstSeenNanos = mFirstSeenNanos.get(instance);
        boolean fresh = firstSeenNanos != null && nowNanos - firstSeenNanos < FRESH_NANOS;
        return unreachedNanos(nowNanos, lost) >= (fresh ? LOST_NANOS : GONE_NANOS);
    }

    private @Nullable InstanceId longestLost(long nowNanos, Membership membership) {
        InstanceId lost = null;
        long longestNanos = 0;
        for (ReplicaRef voter : membership.voters()) {
            mReachedNanos.putIfAbsent(voter.instance(), nowNanos);
            long nanos = unreachedNanos(nowNanos, voter.instance());
            if (nanos > longestNanos) {
                lost = voter.instance();
                longestNanos = nanos;
            }
        }
        return lost;
    }

    private long unreachedNanos(long nowNanos, InstanceId instance) {
        return nowNanos - mReachedNanos.getOrDefault(instance, nowNanos);
    }
}
