package org.hemlockrack.consensus;

/** Optional Raft features. Production enables all; tests disable some to compare. */
public enum ProtocolFeature {
    /** A replica asks whether it could win an election before it increments its term. */
    PRE_VOTE,
    /** A follower that refuses an append names the conflicting term and its first index. */
    CONFLICT_HINTS
}
