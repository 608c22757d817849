package org.hemlockrack.placement;

/** Why a server holds its position in an ordered list of choices. */
public enum ChoiceReason {
    /** Rank by rendezvous hashing. */
    HASH,
    /** The table knows a live copy here and none at the servers ranked above. */
    REMEMBERED,
    /** A summary says that the server is at its bound; it stands behind all others. */
    FULL
}
