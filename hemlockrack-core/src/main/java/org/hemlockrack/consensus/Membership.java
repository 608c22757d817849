package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.LongPredicate;
import org.hemlockrack.model.InstanceId;

/**
 * The members as of one log entry.
 *
 * @param clusterId id of the replica that formed the cluster; packets of other clusters are ignored
 * @param members the members
 */
public record Membership(long clusterId, List<Member> members) {
    /**
     * Most members, at most 7 of which vote. Bounds the quorum computation and the size of a
     * membership entry.
     */
    public static final int MAX_MEMBERS = 16;

    /** The membership of a replica that belongs to no cluster yet. */
    public static final Membership NONE = new Membership(0, List.of());

    /** Copies the list. */
    public Membership {
        members = List.copyOf(members);
    }

    /** Returns the voting members. */
    public List<ReplicaRef> voters() {
        List<ReplicaRef> voters = new ArrayList<>();
        for (Member member : members) {
            if (member.kind().canVote()) {
                voters.add(member.replica());
            }
        }
        return voters;
    }

    /**
     * Returns whether a replica votes.
     *
     * @param replicaId the replica id
     * @return true if it is a voter
     */
    public boolean isVoter(long replicaId) {
        return member(replicaId).map(m -> m.kind().canVote()).orElse(false);
    }

    /**
     * Returns the member with a replica id.
     *
     * @param replicaId the replica id
     * @return the member, or empty
     */
    public Optional<Member> member(long replicaId) {
        return members.stream().filter(m -> m.replica().replicaId() == replicaId).findFirst();
    }

    /**
     * Returns the voting or the non-voting member of an instance. An instance has one of each while
     * a replacement catches up.
     *
     * @param instance the instance
     * @param voting true for the voter, false for the learner or replacement
     * @return the member, or empty
     */
    public Optional<Member> memberOf(InstanceId instance, boolean voting) {
        return members.stream()
                .filter(m -> m.replica().instance().equals(instance))
                .filter(m -> m.kind().canVote() == voting)
                .findFirst();
    }

    /** Returns the number of voters that form a majority. */
    public int quorum() {
        return voters().size() / 2 + 1;
    }

    /**
     * Returns whether a majority of the voters satisfies a condition.
     *
     * @param condition a condition on replica ids
     * @return true for a majority; false if there are no voters
     */
    public boolean hasMajority(LongPredicate condition) {
        List<ReplicaRef> voters = voters();
        long count = voters.stream().filter(v -> condition.test(v.replicaId())).count();
        return !voters.isEmpty() && count >= quorum();
    }

    /**
     * Returns whether a set of replica ids holds a majority of the voters.
     *
     * @param replicaIds the replica ids
     * @return true for a majority
     */
    public boolean hasMajority(Set<Long> replicaIds) {
        return hasMajority(id -> replicaIds.contains(id));
    }

    /**
     * Returns the membership with a member added, replacing one with the same replica id.
     *
     * @param member the member
     * @return the new membership
     */
    public Membership with(Member member) {
        List<Member> next = new ArrayList<>(without(member.replica().replicaId()).members);
        next.add(member);
        return new Membership(clusterId, next);
    }

    /**
     * Returns the membership without a member.
     *
     * @param replicaId the replica id
     * @return the new membership
     */
    public Membership without(long replicaId) {
        List<Member> next = new ArrayList<>(members);
        next.removeIf(m -> m.replica().replicaId() == replicaId);
        return new Membership(clusterId, next);
    }
}
