package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

/**
 * Finds the newest route table that a majority of the voters holds on disk, before any of them
 * leads. Versions only rise, so a voter that holds a version has held all acknowledged ones below
 * it, and an acknowledged table is never newer than what this finds. Not thread-safe.
 */
public final class DurableTableVersions {
    private final Map<String, Long> mVersions = new HashMap<>();

    private DurableTableVersions() {}

    /** Creates a set without reports. */
    public static DurableTableVersions create() {
        return new DurableTableVersions();
    }

    /**
     * Notes the newest table on one voter's disk.
     *
     * @param voter the voter
     * @param tableVersion version of its table
     */
    public void recordReport(String voter, long tableVersion) {
        mVersions.put(voter, tableVersion);
    }

    /**
     * Returns whether the newest table of all reports may come in force.
     *
     * @param tableVersion version of a table
     * @param voters number of voters
     * @return true if a majority has reported and none of the reports is newer
     */
    public boolean isNewestOfMajority(long tableVersion, int voters) {
        if (voters == 0 || mVersions.size() <= voters / 2) {
            return false;
        }
        List<Long> versions = new ArrayList<>(mVersions.values());
        return tableVersion >= Collections.max(versions);
    }
}
