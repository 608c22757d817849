package org.hemlockrack.consensus;

import java.util.List;

/** Body of a {@link Packet}. */
public sealed interface Message {
    /** Returns whether the message answers another one. */
    default boolean isReply() {
        return this instanceof HelloReply
                || this instanceof PreVoteReply
                || this instanceof VoteReply
                || this instanceof AppendReply
                || this instanceof SnapshotReply;
    }

    /**
     * Announces a replica without data or without contact to a leader, to all bootstrap voters and
     * to the members that it knows.
     *
     * @param nonce echo of the nonce in the leader's {@link HelloReply}, 0 in an announcement
     */
    record Hello(long nonce) implements Message {}

    /**
     * Answers {@link Hello}.
     *
     * @param empty whether the answering replica has no log and may help to form one
     * @param nonce challenge of the leader, which the announced replica echoes to prove that it is
     *     running; 0 from other replicas
     */
    record HelloReply(boolean empty, long nonce) implements Message {}

    /**
     * Asks whether an election in the packet's term could succeed.
     *
     * @param lastIndex last index of the sender's log
     * @param lastTerm its term
     */
    record PreVote(long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers {@link PreVote}; if granted, the packet's term is the proposed one.
     *
     * @param granted whether the sender would vote
     */
    record PreVoteReply(boolean granted) implements Message {}

    /**
     * Asks for a vote in the packet's term.
     *
     * @param lastIndex last index of the sender's log
     * @param lastTerm its term
     */
    record Vote(long lastIndex, long lastTerm) implements Message {}

    /**
     * Answers {@link Vote}.
     *
     * @param granted whether the vote was given
     */
    record VoteReply(boolean granted) implements Message {}

    /**
     * Replicates entries; without entries it is a heartbeat.
     *
     * @param prevIndex index before the first entry
     * @param prevTerm its term
     * @param commitIndex the leader's commit index
     * @param round newest read round of the leader, echoed in the reply
     * @param entries consecutive entries
     */
    record Append(long prevIndex, long prevTerm, long commitIndex, long round, List<Entry> entries)
            implements Message {}

    /**
     * Answers {@link Append}.
     *
     * @param success whether the entries are stored
     * @param index the last stored index, or the refused {@code prevIndex}
     * @param conflictTerm term of the follower's entry there, 0 if its log is shorter
     * @param conflictIndex first index of that term, or one past the follower's last
     * @param round echo of the request's round
     */
    record AppendReply(
            boolean success, long index, long conflictTerm, long conflictIndex, long round)
            implements Message {}

    /**
     * A chunk of a snapshot.
     *
     * @param meta the snapshot
     * @param offset offset of the data in bytes
     * @param round newest read round of the leader, echoed in the reply
     * @param data the chunk
     */
    record SnapshotChunk(SnapshotMeta meta, long offset, long round, byte[] data)
            implements Message {}

    /**
     * Answers {@link SnapshotChunk}.
     *
     * @param snapshotIndex index of the snapshot
     * @param nextOffset offset of the next byte that the follower expects
     * @param round echo of the request's round
     */
    record SnapshotReply(long snapshotIndex, long nextOffset, long round) implements Message {}
}
