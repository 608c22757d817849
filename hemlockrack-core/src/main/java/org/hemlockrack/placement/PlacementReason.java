package org.hemlockrack.placement;

/** Why a server holds its position in an ordered list of choices. */
public enum PlacementReason {
    /** Rank by rendezvous hashing. */
    HASH,
    /** The table knows a live copy here. */
    REMEMBERED,
    /** Load decides, because no cache is lost and others will learn of the place. */
    LOAD
}
