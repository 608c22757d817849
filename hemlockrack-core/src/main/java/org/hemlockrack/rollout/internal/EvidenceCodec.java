package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.rollout.EvidenceCell;
import org.hemlockrack.rollout.EvidenceReport;
import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.Stages;
import org.hemlockrack.rollout.TrafficSegment;
import org.hemlockrack.rollout.VersionStats;
import org.hemlockrack.wire.RolloutBucketData;
import org.hemlockrack.wire.RolloutCellData;
import org.hemlockrack.wire.RolloutReportData;
import org.hemlockrack.wire.RolloutStatsData;
import org.hemlockrack.wire.RolloutTableCellData;
import org.jspecify.annotations.Nullable;

/** Converts request statistics to Thrift structs and back. */
public final class EvidenceCodec {
    /** Upper bound of every count, so that sums over many reports cannot overflow. */
    private static final long MAX_COUNT = 1L << 40;

    private EvidenceCodec() {}

    /**
     * Turns a report into a struct.
     *
     * @param report the report
     * @return the struct
     */
    public static RolloutReportData toData(EvidenceReport report) {
        List<RolloutCellData> cells = new ArrayList<>();
        for (EvidenceCell cell : report.cells()) {
            cells.add(toData(cell));
        }
        return new RolloutReportData(
                report.rolloutId(),
                report.stage(),
                report.instance().value(),
                report.incarnation(),
                report.sequence(),
                cells);
    }

    /**
     * Turns a struct into a report.
     *
     * @param data the struct, null if the sender did not set it
     * @return the report
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static EvidenceReport fromData(@Nullable RolloutReportData data) {
        RolloutReportData report = StructCodec.require("report", data);
        List<RolloutCellData> list = StructCodec.require("cells", report.getCells());
        if (list.size() > EvidenceReport.MAX_CELLS) {
            throw malformed("report", "more than " + EvidenceReport.MAX_CELLS + " cells");
        }
        if (!Stages.isValid(report.getStage())) {
            throw malformed("stage", "no such stage");
        }
        if (report.getIncarnation() < 0 || report.getSequence() < 1) {
            throw malformed("report", "incarnation below 0 or sequence below 1");
        }
        List<EvidenceCell> cells = new ArrayList<>();
        for (RolloutCellData cell : list) {
            cells.add(fromData(cell));
        }
        return new EvidenceReport(
                report.getRolloutId(),
                report.getStage(),
                InstanceId.of(StructCodec.require("instance", report.getInstance())),
                report.getIncarnation(),
                report.getSequence(),
                cells);
    }

    /**
     * Turns a cell of a table into a struct.
     *
     * @param key its key
     * @param cell the cell
     * @return the struct
     */
    public static RolloutTableCellData toData(CellKey key, CellEvidence cell) {
        return new RolloutTableCellData(toData(key, cell.stage()), toData(key, cell.window()));
    }

    /**
     * Restores a cell of a snapshot into a table.
     *
     * @param data the struct
     * @param table the table
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static void restore(RolloutTableCellData data, EvidenceTable table) {
        EvidenceCell stage = fromData(StructCodec.require("stage cell", data.getStage()));
        EvidenceCell window = fromData(StructCodec.require("window cell", data.getWindow()));
        table.restore(
                new CellKey(stage.segment(), stage.level()),
                CellEvidence.of(
                        new VersionComparison(stage.newer(), stage.older()),
                        new VersionComparison(window.newer(), window.older())));
    }

    private static RolloutCellData toData(CellKey key, VersionComparison pair) {
        return toData(new EvidenceCell(key.segment(), key.level(), pair.newer(), pair.older()));
    }

    private static RolloutCellData toData(EvidenceCell cell) {
        return new RolloutCellData(
                cell.segment().workspace().value(),
                cell.segment().kind().ordinal(),
                cell.level().ordinal(),
                toData(cell.newer()),
                toData(cell.older()));
    }

    private static EvidenceCell fromData(RolloutCellData data) {
        WorkspaceId workspace =
                WorkspaceId.of(StructCodec.require("workspace", data.getWorkspace()));
        RequestKind kind =
                requireEnumValue("request kind", RequestKind.values(), data.getRequestKind());
        LoadLevel level = requireEnumValue("load level", LoadLevel.values(), data.getLoadLevel());
        return new EvidenceCell(
                new TrafficSegment(workspace, kind),
                level,
                fromData(data.getNewer()),
                fromData(data.getOlder()));
    }

    private static RolloutStatsData toData(VersionStats stats) {
        List<RolloutBucketData> buckets = new ArrayList<>();
        for (int i = 0; i < VersionStats.BUCKETS; i++) {
            if (stats.answerCount(i) > 0) {
                buckets.add(new RolloutBucketData(i, stats.answerCount(i)));
            }
        }
        return new RolloutStatsData(stats.requests(), stats.errors(), buckets);
    }

    private static VersionStats fromData(@Nullable RolloutStatsData data) {
        RolloutStatsData struct = StructCodec.require("statistics", data);
        List<RolloutBucketData> buckets = StructCodec.require("buckets", struct.getFirstTokens());
        if (buckets.size() > VersionStats.BUCKETS) {
            throw malformed("statistics", "too many buckets");
        }
        VersionStats stats = VersionStats.create();
        long requests = requireCount(struct.getRequests());
        long errors = requireCount(struct.getErrors());
        long answers = 0;
        for (RolloutBucketData bucket : buckets) {
            if (bucket.getBucket() < 0 || bucket.getBucket() >= VersionStats.BUCKETS) {
                throw malformed("bucket", "no such bucket");
            }
            answers += requireCount(bucket.getCount());
            stats.addToBucket(bucket.getBucket(), bucket.getCount());
        }
        if (errors > requests || answers > requests - errors) {
            throw malformed("statistics", "more errors and answers than requests");
        }
        stats.addCounts(requests, errors);
        return stats;
    }

    private static long requireCount(long value) {
        if (value < 0 || value > MAX_COUNT) {
            throw malformed("count", "below 0 or above " + MAX_COUNT);
        }
        return value;
    }

    private static <T> T requireEnumValue(String what, T[] values, int ordinal) {
        if (ordinal < 0 || ordinal >= values.length) {
            throw malformed(what, "no such value");
        }
        return values[ordinal];
    }

    private static HemlockrackException malformed(String what, String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.STRUCT_MALFORMED, what, reason));
    }
}
