package org.hemlockrack.consensus;

import java.util.List;
import java.util.Map;
import java.util.StringJoiner;
import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * What one replica knows of its cluster, for the log.
 *
 * @param replicaId the id in the data folder of the replica
 * @param role its role
 * @param term its term
 * @param leader the leader that it knows, or null
 * @param commitIndex its last committed index
 * @param lastIndex the last index of its log
 * @param lastTerm the term of that entry
 * @param members the members in its log, each with what it knows of it
 * @param refusals how many votes and pre-votes it has refused since its start, by reason
 */
public record ReplicaStatus(
        long replicaId,
        Role role,
        long term,
        @Nullable InstanceId leader,
        long commitIndex,
        long lastIndex,
        long lastTerm,
        List<MemberStatus> members,
        Map<VoteRefusal, Integer> refusals) {
    /** The value of a field of {@link MemberStatus} that is not known. */
    public static final long UNKNOWN = -1;

    /**
     * What a replica knows of a member.
     *
     * @param member the member
     * @param silentMillis time since its last message, in milliseconds; 0 for the replica itself,
     *     {@link #UNKNOWN} if it has sent none since the start
     * @param behindEntries entries of the log that it is not known to hold; {@link #UNKNOWN} unless
     *     the replica leads
     */
    public record MemberStatus(Member member, long silentMillis, long behindEntries) {
        private boolean isBehind(long silentLimitMillis) {
            boolean isSilent = silentMillis == UNKNOWN || silentMillis > silentLimitMillis;
            return isSilent || !member.kind().canVote() && behindEntries > 0;
        }
    }

    /** Copies the collections. */
    public ReplicaStatus {
        members = List.copyOf(members);
        refusals = Map.copyOf(refusals);
    }

    /**
     * Returns whether a member is silent, or does not vote and lacks entries.
     *
     * @param silentLimitMillis time without a message after which a member counts as silent
     * @return true if there is one
     */
    public boolean hasMemberBehind(long silentLimitMillis) {
        return members.stream().anyMatch(each -> each.isBehind(silentLimitMillis));
    }

    /** Returns one line of text without units: times are in milliseconds. */
    public String describe() {
        StringJoiner joiner = new StringJoiner(", ", "[", "]");
        for (MemberStatus each : members) {
            ReplicaRef replica = each.member().replica();
            joiner.add(
                    String.format(
                            "%s/%x %s silent=%s behind=%s",
                            replica.instance(),
                            replica.replicaId(),
                            each.member().kind(),
                            valueOf(each.silentMillis()),
                            valueOf(each.behindEntries())));
        }
        return String.format(
                "replica %x %s term=%d leader=%s commit=%d last=%d/%d members=%s refusals=%s",
                replicaId, role, term, leader, commitIndex, lastIndex, lastTerm, joiner, refusals);
    }

    private static String valueOf(long value) {
        return value == UNKNOWN ? "unknown" : Long.toString(value);
    }
}
