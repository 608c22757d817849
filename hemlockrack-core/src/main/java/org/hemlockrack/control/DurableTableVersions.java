package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the newest route table on the disks of a majority of the voters, before a leader is
 * elected. An acknowledged table is on the disks of a majority and versions only increase, so the
 * newest table that any majority reports is at least as new as every acknowledged one. Not
 * thread-safe.
 */
public final class DurableTableVersions {
    private final Map<String, Long> mVersions = new HashMap<>();

    private DurableTableVersions() {}

    /** Creates an instance without reports. */
    public static DurableTableVersions create() {
        return new DurableTableVersions();
    }

    /**
     * Records the version of the newest table on the disk of a voter.
     *
     * @param voter the voter
     * @param tableVersion version of its table
     */
    public void recordReport(String voter, long tableVersion) {
        mVersions.put(voter, tableVersion);
    }

    /**
     * Returns whether a table may come into force before a leader is elected.
     *
     * @param tableVersion version of the table
     * @param voters number of voters
     * @return true if a majority of the voters has reported and no report has a higher version
     */
    public boolean isNewestOfMajority(long tableVersion, int voters) {
        if (voters == 0 || mVersions.size() <= voters / 2) {
            return false;
        }
        List<Long> versions = new ArrayList<>(mVersions.values());
        return tableVersion >= Collections.max(versions);
    }
}
