package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.model.InstanceId;

/**
 * Request statistics that one instance collected since its previous report.
 *
 * @param rolloutId the roll-out
 * @param stage stage in which all statistics of the report were collected
 * @param instance the instance
 * @param incarnation incarnation of its process
 * @param sequence number of the report within the incarnation, from 1
 * @param cells the statistics, at most {@link #MAX_CELLS}
 */
public record EvidenceReport(
        long rolloutId,
        int stage,
        InstanceId instance,
        long incarnation,
        long sequence,
        List<EvidenceCell> cells) {
    /**
     * Maximum number of cells in a report. A report takes at most 10 KiB if all histogram buckets
     * are in use, and less than 1 KiB with the few requests that an instance serves between two
     * reports.
     */
    public static final int MAX_CELLS = 16;

    /** Copies the list. */
    public EvidenceReport {
        cells = List.copyOf(cells);
    }
}
