package org.hemlockrack.consensus;

import java.util.HashMap;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the target number of voters while controller instances fail and are replaced. Runs on
 * the leader, which proposes one change at a time; a change that is not possible yet is refused and
 * proposed again later. An unreachable voter is removed only after another one was promoted,
 * because a removed replica that was merely unreachable has to join again as a learner. Not
 * thread-safe; time is monotonic and passed in.
 */
public final class VoterReconciler {
    /** Voters while fewer than five controllers answer; tolerates the loss of one. */
    private static final int SMALL_FLEET_VOTERS = 3;

    /** Voters with five or more controllers; tolerates the loss of two. */
    private static final int LARGE_FLEET_VOTERS = 5;

    /**
     * A voter unreachable for this long is replaced by a new instance, presumably its successor, or
     * removed if there are more voters than the target.
     */
    private static final long REPLACE_BY_NEW_NANOS = TimeUnit.MILLISECONDS.toNanos(1_500);

    /**
     * A voter unreachable for this long is replaced by any instance; process pauses are shorter.
     */
    private static final long REPLACE_BY_ANY_NANOS = TimeUnit.SECONDS.toNanos(20);

    /** An instance counts as new for this long after it was first seen. */
    private static final long NEW_INSTANCE_NANOS = TimeUnit.SECONDS.toNanos(15);

    private final Map<InstanceId, Long> mLastReachedNanos = new HashMap<>();
    private final Map<InstanceId, Long> mFirstSeenNanos = new HashMap<>();

    private VoterReconciler() {}

    /** Creates a reconciler that has seen no controller yet. */
    public static VoterReconciler create() {
        return new VoterReconciler();
    }

    /**
     * Records which controllers are responsive.
     *
     * @param nowNanos monotonic time
     * @param responsive the controllers that answer now, this one included
     */
    public void recordResponsive(long nowNanos, Set<InstanceId> responsive) {
        for (InstanceId instance : responsive) {
            mLastReachedNanos.put(instance, nowNanos);
            mFirstSeenNanos.putIfAbsent(instance, nowNanos);
        }
    }

    /**
     * Returns the next change to propose.
     *
     * @param nowNanos monotonic time
     * @param membership the current members
     * @param responsive the controllers that answer now, this one included
     * @return the change, or null if none is needed
     */
    public @Nullable VoterChange nextChange(
            long nowNanos, Membership membership, Set<InstanceId> responsive) {
        int targetVoters =
                responsive.size() < LARGE_FLEET_VOTERS ? SMALL_FLEET_VOTERS : LARGE_FLEET_VOTERS;
        int voters = membership.voters().size();
        InstanceId unreachable = longestUnreachable(nowNanos, membership);
        if (unreachable != null
                && voters > targetVoters
                && unreachableNanos(nowNanos, unreachable) >= REPLACE_BY_NEW_NANOS) {
            return new VoterChange(VoterChange.Action.REMOVE, unreachable);
        }
        for (InstanceId instance : responsive) {
            if (membership.memberOf(instance, true).isPresent()) {
                continue;
            }
            if (membership.memberOf(instance, false).isEmpty()) {
                return new VoterChange(VoterChange.Action.ADD_LEARNER, instance);
            }
            if (voters < targetVoters || canReplace(nowNanos, instance, unreachable)) {
                return new VoterChange(VoterChange.Action.PROMOTE, instance);
            }
        }
        return null;
    }

    private boolean canReplace(
            long nowNanos, InstanceId instance, @Nullable InstanceId unreachable) {
        if (unreachable == null) {
            return false;
        }
        Long firstSeenNanos = mFirstSeenNanos.get(instance);
        boolean isNew = firstSeenNanos != null && nowNanos - firstSeenNanos < NEW_INSTANCE_NANOS;
        return unreachableNanos(nowNanos, unreachable)
                >= (isNew ? REPLACE_BY_NEW_NANOS : REPLACE_BY_ANY_NANOS);
    }

    private @Nullable InstanceId longestUnreachable(long nowNanos, Membership membership) {
        InstanceId longestUnreachable = null;
        long longestNanos = 0;
        for (ReplicaRef voter : membership.voters()) {
            mLastReachedNanos.putIfAbsent(voter.instance(), nowNanos);
            long nanos = unreachableNanos(nowNanos, voter.instance());
            if (nanos > longestNanos) {
                longestUnreachable = voter.instance();
                longestNanos = nanos;
            }
        }
        return longestUnreachable;
    }

    private long unreachableNanos(long nowNanos, InstanceId instance) {
        return nowNanos - mLastReachedNanos.getOrDefault(instance, nowNanos);
    }
}
