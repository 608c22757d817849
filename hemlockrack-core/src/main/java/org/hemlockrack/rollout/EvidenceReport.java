package org.hemlockrack.rollout;

import java.util.List;
import org.hemlockrack.model.InstanceId;

/**
 * Evidence of one instance since its previous report.
 *
 * @param rolloutId the roll-out
 * @param stage stage in which all of it was collected
 * @param instance the instance
 * @param incarnation incarnation of its process
 * @param sequence number of the report within the incarnation, from 1
 * @param cells the evidence, at most {@link #MAX_CELLS}
 */
public record EvidenceReport(
        long rolloutId,
        int stage,
        InstanceId instance,
        long incarnation,
        long sequence,
        List<EvidenceCell> cells) {
    /**
     * Most cells in one report: at most 10 KiB with all buckets in use, and under 1 KiB at the few
     * requests that an instance sees between reports.
     */
    public static final int MAX_CELLS = 16;

    /** Copies the list. */
    public EvidenceReport {
        cells = List.copyOf(cells);
    }
}
