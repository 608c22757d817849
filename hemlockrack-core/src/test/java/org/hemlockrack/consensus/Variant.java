package org.hemlockrack.consensus;

/** The correct system, and broken ones that the oracle must catch with a certain violation. */
enum Variant {
    CORRECT(""),
    /** Entries are acknowledged although they were not synced. */
    ACKNOWLEDGES_UNSYNCED("two commands at index"),
    /** A leader reads without asking a majority. */
    READS_LOCALLY("read saw"),
    /** A lost folder comes back with the old replica id, and so with its votes unspent. */
    KEEPS_REPLICA_ID("two ");

    final String mViolation;

    Variant(String violation) {
        mViolation = violation;
    }
}
