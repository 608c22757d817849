package org.hemlockrack.placement;

/** Why a server is at its position in an ordered list of choices. */
public enum PlacementReason {
    /** Its rank by rendezvous hashing. */
    HASH,
    /** The chat table lists the server as having the chat cached. */
    REMEMBERED,
    /**
     * Its load: no cached copy is given up, and cache events report the new copy to all instances.
     */
    LOAD
}
