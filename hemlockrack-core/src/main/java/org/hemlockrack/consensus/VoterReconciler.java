package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * Maintains the number of voters that tolerates the stated losses while controller instances fail
 * and are replaced. Runs on the leader, which proposes one change at a time; a change that is not
 * possible yet is refused and proposed again later. Other controllers only record who answers them,
 * so that a new leader knows who is away.
 *
 * <p>A voter that is away keeps its seat until another replica that holds the log was promoted,
 * unless there are more voters than the stated losses need: without it, the remaining voters would
 * tolerate one loss less, although its log is still there. Not thread-safe; time is monotonic and
 * passed in.
 */
public final class VoterReconciler {
    /** Voters of a fleet with fewer than five controllers, unless more losses are stated. */
    private static final int SMALL_FLEET_VOTERS = 3;

    /** Voters of a fleet with five or more controllers; tolerates the loss of two. */
    private static final int LARGE_FLEET_VOTERS = 5;

    /**
     * A voter that is away for this long loses its seat to any replica that holds the log. The seat
     * moves although the voter may return: four voters of which three answer tolerate as little as
     * three of which two answer, and a voter that is gone for good costs a tolerated loss for as
     * long as it keeps the seat.
     */
    private static final long VACANT_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Longer times without a sign of life of this process itself are pauses of it. */
    private static final long OWN_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final int mMinVoters;
    private final Map<InstanceId, Long> mLastReachedNanos = new HashMap<>();

    /** When this process last called {@link #recordRunning}, or null. */
    private @Nullable Long mLastRunningNanos;

    /** Since when answers are recorded, or null. */
    private @Nullable Long mRecordingSinceNanos;

    /** Controllers that are about to stop. */
    private Set<InstanceId> mLeaving = Set.of();

    private @Nullable VoterChange mLastChange;

    private VoterReconciler(int minVoters) {
        mMinVoters = minVoters;
    }

    /**
     * Creates a reconciler that has seen no controller yet.
     *
     * @param toleratedLosses controllers whose simultaneous loss must leave a majority
     */
    public static VoterReconciler create(int toleratedLosses) {
        return new VoterReconciler(Math.max(SMALL_FLEET_VOTERS, 2 * toleratedLosses + 1));
    }

    /**
     * Records that this process runs; called several times a second. Time in which it did not run
     * counts against no controller, because it heard none.
     *
     * @param nowNanos monotonic time
     */
    public void recordRunning(long nowNanos) {
        Long lastNanos = mLastRunningNanos;
        mLastRunningNanos = nowNanos;
        if (lastNanos == null || mRecordingSinceNanos == null) {
            mRecordingSinceNanos = nowNanos;
            return;
        }
        long pauseNanos = nowNanos - lastNanos;
        if (pauseNanos >= OWN_PAUSE_NANOS) {
            mRecordingSinceNanos += pauseNanos;
            mLastReachedNanos.replaceAll((instance, nanos) -> nanos + pauseNanos);
        }
    }

    /**
     * Records that controllers answered.
     *
     * @param answeredNanos monotonic time of the answers
     * @param responsive the controllers, this one included
     */
    public void recordResponsive(long answeredNanos, Set<InstanceId> responsive) {
        for (InstanceId instance : responsive) {
            mLastReachedNanos.merge(instance, answeredNanos, Math::max);
        }
    }

    /**
     * Records which controllers are about to stop. Their seats go to others at once, and they get
     * none.
     *
     * @param leaving the controllers
     */
    public void recordLeaving(Set<InstanceId> leaving) {
        mLeaving = Set.copyOf(leaving);
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
        int voters = membership.voters().size();
        int targetVoters = targetVoters(membership, responsive);
        InstanceId vacant = longestVacant(nowNanos, membership);
        if (vacant != null && voters > targetVoters) {
            return new VoterChange(VoterChange.Action.REMOVE, vacant);
        }
        List<VoterChange> changes = new ArrayList<>();
        for (InstanceId instance : new TreeSet<>(responsive)) {
            if (mLeaving.contains(instance) || membership.memberOf(instance, true).isPresent()) {
                continue;
            }
            if (membership.memberOf(instance, false).isEmpty()) {
                changes.add(new VoterChange(VoterChange.Action.ADD_LEARNER, instance));
            } else if (voters < targetVoters || vacant != null) {
                changes.add(new VoterChange(VoterChange.Action.PROMOTE, instance));
            }
        }
        if (vacant != null && voters > mMinVoters) {
            changes.add(new VoterChange(VoterChange.Action.REMOVE, vacant));
        }
        return nextInTurn(changes);
    }

    /**
     * Returns whether there are more voters than the stated losses need.
     *
     * @param membership the current members
     * @param responsive the controllers that answer now, this one included
     */
    public boolean hasSurplusVoter(Membership membership, Set<InstanceId> responsive) {
        return membership.voters().size() > targetVoters(membership, responsive);
    }

    /** Returns the changes in turn, because one that is refused must not block the others. */
    private @Nullable VoterChange nextInTurn(List<VoterChange> changes) {
        mLastChange =
                changes.isEmpty()
                        ? null
                        : changes.get((changes.indexOf(mLastChange) + 1) % changes.size());
        return mLastChange;
    }

    /** Counts members that do not answer too, so that an absence does not lower the target. */
    private int targetVoters(Membership membership, Set<InstanceId> responsive) {
        Set<InstanceId> known = new TreeSet<>(responsive);
        membership.members().forEach(member -> known.add(member.replica().instance()));
        return known.size() < LARGE_FLEET_VOTERS
                ? mMinVoters
                : Math.max(mMinVoters, LARGE_FLEET_VOTERS);
    }

    /**
     * Returns the voter whose seat others may take: one that leaves, or the one that has been away
     * longest. Null if no seat is vacant.
     */
    private @Nullable InstanceId longestVacant(long nowNanos, Membership membership) {
        InstanceId longestVacant = null;
        long longestNanos = VACANT_NANOS;
        long sinceNanos = mRecordingSinceNanos == null ? nowNanos : mRecordingSinceNanos;
        for (ReplicaRef voter : membership.voters()) {
            mLastReachedNanos.putIfAbsent(voter.instance(), sinceNanos);
            long nanos =
                    mLeaving.contains(voter.instance())
                            ? Long.MAX_VALUE
                            : nowNanos - mLastReachedNanos.get(voter.instance());
            if (nanos >= longestNanos) {
                longestVacant = voter.instance();
                longestNanos = nanos;
            }
        }
        return longestVacant;
    }
}
