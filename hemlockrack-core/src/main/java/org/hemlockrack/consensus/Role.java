package org.hemlockrack.consensus;

/** What a replica does at the moment. */
public enum Role {
    FOLLOWER,
    PRE_CANDIDATE,
    CANDIDATE,
    LEADER
}
