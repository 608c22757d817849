package org.hemlockrack.consensus;

/** The correct implementation, and broken ones with the start of the violation they must cause. */
enum Variant {
    CORRECT(""),
    /** Entries are acknowledged before they are synced. */
    ACKNOWLEDGES_UNSYNCED("two commands at index"),
    /** A leader serves reads without confirmation by a majority. */
    READS_LOCALLY("read saw"),
    /** A lost data folder is recreated with the old replica id, which can then vote twice. */
    KEEPS_REPLICA_ID("two ");

    final String mViolation;

    Variant(String violation) {
        mViolation = violation;
    }
}
