package org.hemlockrack.consensus;

/** Raft role of a replica. */
public enum Role {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
