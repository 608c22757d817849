package org.hemlockrack.consensus;

import java.util.List;
import org.hemlockrack.consensus.ClusterSimulation.InjectedFault;

/** The correct implementation, and broken ones with the start of the violation they must cause. */
enum Variant {
    CORRECT(""),
    /** Entries are acknowledged before they are synced. */
    ACKNOWLEDGES_UNSYNCED("two commands at index"),
    /** A leader serves reads without confirmation by a majority. */
    READS_LOCALLY("read saw"),
    /** A lost data folder is recreated with the old replica id, which can then vote twice. */
    KEEPS_REPLICA_ID("two "),
    /** A replica takes no part any more after its disk has refused a write. */
    STOPS_AFTER_FAILED_WRITE("no convergence", ClusterSimulation.DISK_FAULTS),
    /** Entries before a failed sync count as durable once a later sync succeeds. */
    COUNTS_FAILED_SYNC("two commands at index", ClusterSimulation.DISK_FAULTS);

    final String mViolation;

    /** The faults of the histories that must show the violation. */
    final List<InjectedFault> mFaults;

    Variant(String violation) {
        this(violation, List.of(InjectedFault.values()));
    }

    Variant(String violation, List<InjectedFault> faults) {
        mViolation = violation;
        mFaults = faults;
    }
}
