package org.hemlockrack.consensus;

/** Parts of the protocol that measurements switch off; production uses all of them. */
public enum Mechanism {
    PRE_VOTE,
    CONFLICT_HINTS
}
