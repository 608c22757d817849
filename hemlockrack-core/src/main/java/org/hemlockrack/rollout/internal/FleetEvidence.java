package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.EvidenceCell;
import org.hemlockrack.rollout.EvidenceReport;
import org.hemlockrack.rollout.Finding;
import org.hemlockrack.wire.RolloutEvidenceData;
import org.hemlockrack.wire.RolloutReporterData;
import org.hemlockrack.wire.RolloutTableCellData;
import org.jspecify.annotations.Nullable;

/** Evidence of all instances on one running roll-out. Every report is counted once. */
public final class FleetEvidence {
    /** Length of the window of the fleet's evidence. */
    public static final long WINDOW_MILLIS = 10_000;

    /** More than the instances of the projected size, with room for restarted ones. */
    private static final int MAX_REPORTERS = 1_024;

    private final EvidenceTable mTable = EvidenceTable.create();
    private final Map<InstanceId, Reported> mReporters = new LinkedHashMap<>();
    private @Nullable Finding mFault;

    private record Reported(long incarnation, long sequence) {}

    private FleetEvidence() {}

    /** Returns empty evidence. */
    public static FleetEvidence create() {
        return new FleetEvidence();
    }

    /** Returns the evidence of the stage and window. */
    public EvidenceTable table() {
        return mTable;
    }

    /** Returns the first fault that an instance reported. */
    public Optional<Finding> fault() {
        return Optional.ofNullable(mFault);
    }

    /**
     * Keeps the first fault.
     *
     * @param finding the fault
     */
    public void reportFault(Finding finding) {
        if (mFault == null) {
            mFault = finding;
        }
    }

    /**
     * Counts a report unless it was counted before.
     *
     * @param report the report
     * @param stage present stage; evidence of an earlier one is not compared
     * @param ageMillis leader time since the start of the roll-out
     * @return whether it was new
     */
    public boolean add(EvidenceReport report, int stage, long ageMillis) {
        Reported last = mReporters.get(report.instance());
        if (last != null && !isNewer(report, last)) {
            return false;
        }
        if (last == null && mReporters.size() >= MAX_REPORTERS) {
            return false;
        }
        mReporters.put(report.instance(), new Reported(report.incarnation(), report.sequence()));
        mTable.moveTo(ageMillis / WINDOW_MILLIS);
        if (report.stage() != stage) {
            return true;
        }
        for (EvidenceCell cell : report.cells()) {
            mTable.add(new CellKey(cell.route(), cell.level()), cell.newer(), cell.older());
        }
        return true;
    }

    /**
     * Turns the evidence into a struct.
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
                        .setJudged(mTable.judged())
                        .setCells(cells)
                        .setReporters(reporters);
        if (mFault != null) {
            data.setFaultReason(RolloutCodec.toData(mFault.reason()));
            data.setFaultDetail(mFault.detail());
        }
        return data;
    }

    /**
     * Turns a struct into evidence.
     *
     * @param data the struct
     * @return the evidence
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
                    new Reported(last.getIncarnation(), last.getSequence()));
        }
        if (data.isSetFaultReason()) {
            String detail = StructCodec.require("fault", data.getFaultDetail());
            evidence.mFault = new Finding(RolloutCodec.fromData(data.getFaultReason()), detail);
        }
        return evidence;
    }

    private static boolean isNewer(EvidenceReport report, Reported last) {
        if (report.incarnation() != last.incarnation()) {
            return report.incarnation() > last.incarnation();
        }
        return report.sequence() > last.sequence();
    }
}
