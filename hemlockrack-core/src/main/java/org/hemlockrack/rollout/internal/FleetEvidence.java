package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.DetectedFault;
import org.hemlockrack.rollout.EvidenceCell;
import org.hemlockrack.rollout.EvidenceReport;
import org.hemlockrack.wire.RolloutEvidenceData;
import org.hemlockrack.wire.RolloutReporterData;
import org.hemlockrack.wire.RolloutTableCellData;
import org.jspecify.annotations.Nullable;

/**
 * Merged request statistics of all instances for one running roll-out. Every report is counted
 * once.
 */
public final class FleetEvidence {
    /** Length of the window of the merged statistics. */
    public static final long WINDOW_MILLIS = 10_000;

    /**
     * More than the number of instances at the projected fleet size, with room for restarted ones.
     */
    private static final int MAX_REPORTERS = 1_024;

    private final EvidenceTable mTable = EvidenceTable.create();
    private final Map<InstanceId, LastReport> mReporters = new LinkedHashMap<>();
    private @Nullable DetectedFault mFault;

    private record LastReport(long incarnation, long sequence) {}

    private FleetEvidence() {}

    /** Creates statistics without requests. */
    public static FleetEvidence create() {
        return new FleetEvidence();
    }

    /** Returns the statistics of the current stage and window. */
    public EvidenceTable table() {
        return mTable;
    }

    /** Returns the first fault that an instance reported. */
    public Optional<DetectedFault> fault() {
        return Optional.ofNullable(mFault);
    }

    /**
     * Stores a reported fault unless one was reported before.
     *
     * @param fault the fault
     */
    public void reportFault(DetectedFault fault) {
        if (mFault == null) {
            mFault = fault;
        }
    }

    /**
     * Merges a report unless it was merged before.
     *
     * @param report the report
     * @param stage current stage; the cells of a report from another stage are not merged
     * @param ageMillis leader time since the start of the roll-out
     * @return false if the report is a duplicate or the maximum number of reporting instances is
     *     reached
     */
    public boolean add(EvidenceReport report, int stage, long ageMillis) {
        LastReport last = mReporters.get(report.instance());
        if (last != null && !isNewer(report, last)) {
            return false;
        }
        if (last == null && mReporters.size() >= MAX_REPORTERS) {
            return false;
        }
        mReporters.put(report.instance(), new LastReport(report.incarnation(), report.sequence()));
        mTable.advanceToWindow(ageMillis / WINDOW_MILLIS);
        if (report.stage() != stage) {
            return true;
        }
        for (EvidenceCell cell : report.cells()) {
            mTable.add(new CellKey(cell.segment(), cell.level()), cell.newer(), cell.older());
        }
        return true;
    }

    /**
     * Converts the statistics to a struct.
     *
     * @param rolloutId the roll-out
     * @return the struct
     */
    public RolloutEvidenceData toData(long rolloutId) {
        List<RolloutTableCellData> cells = new ArrayList<>();
        mTable.cells().forEach((key, cell) -> cells.add(EvidenceCodec.toData(key, cell)));
        List<RolloutReporterData> reporters = new ArrayList<>();
        mReporters.forEach(
                (id, last) ->
                        reporters.add(
                                new RolloutReporterData(
                                        id.value(), last.incarnation(), last.sequence())));
        RolloutEvidenceData data =
                new RolloutEvidenceData()
                        .setRolloutId(rolloutId)
                        .setWindow(mTable.window())
                        .setJudged(mTable.judgedRequests())
                        .setCells(cells)
                        .setReporters(reporters);
        if (mFault != null) {
            data.setFaultReason(RolloutCodec.toData(mFault.reason()));
            data.setFaultDetail(mFault.detail());
        }
        return data;
    }

    /**
     * Converts a struct to statistics.
     *
     * @param data the struct
     * @return the statistics
     */
    public static FleetEvidence fromData(RolloutEvidenceData data) {
        FleetEvidence evidence = create();
        evidence.mTable.restore(data.getWindow(), data.getJudged());
        for (RolloutTableCellData cell : StructCodec.require("cells", data.getCells())) {
            EvidenceCodec.restore(cell, evidence.mTable);
        }
        for (RolloutReporterData last : StructCodec.require("reporters", data.getReporters())) {
            evidence.mReporters.put(
                    InstanceId.of(StructCodec.require("instance", last.getInstance())),
                    new LastReport(last.getIncarnation(), last.getSequence()));
        }
        if (data.isSetFaultReason()) {
            String detail = StructCodec.require("fault", data.getFaultDetail());
            evidence.mFault =
                    new DetectedFault(RolloutCodec.fromData(data.getFaultReason()), detail);
        }
        return evidence;
    }

    private static boolean isNewer(EvidenceReport report, LastReport last) {
        if (report.incarnation() != last.incarnation()) {
            return report.incarnation() > last.incarnation();
        }
        return report.sequence() > last.sequence();
    }
}
