package org.hemlockrack.rollout.internal;

import java.util.ArrayList;
import java.util.List;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.DetectedFault;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutOutcome;
import org.hemlockrack.rollout.RolloutReason;
import org.hemlockrack.rollout.RolloutResult;
import org.hemlockrack.rollout.RolloutStatus;
import org.hemlockrack.rollout.Stages;
import org.hemlockrack.wire.RolloutCommandData;
import org.hemlockrack.wire.RolloutCommandKind;
import org.hemlockrack.wire.RolloutData;
import org.hemlockrack.wire.RolloutListData;
import org.hemlockrack.wire.RolloutOutcomeData;
import org.hemlockrack.wire.RolloutReasonData;
import org.hemlockrack.wire.RolloutResultData;
import org.hemlockrack.wire.RolloutStatusData;
import org.jspecify.annotations.Nullable;

/** Converts roll-out commands, results and states to Thrift structs and back. */
public final class RolloutCodec {
    /**
     * Maximum size of an encoded command; a report with all cells and buckets in use takes about 10
     * KiB.
     */
    public static final int MAX_COMMAND_BYTES = 32 << 10;

    /** Maximum length of a request id in characters. */
    public static final int MAX_ID_CHARS = 160;

    /** Maximum length of an author in characters. */
    public static final int MAX_AUTHOR_CHARS = 120;

    /** Maximum length of a reason text in characters; longer texts are truncated when encoded. */
    public static final int MAX_DETAIL_CHARS = 300;

    private static final int MAX_LIST_BYTES = 1 << 20;

    private RolloutCodec() {}

    /**
     * Encodes a command.
     *
     * @param command the command
     * @return its bytes
     */
    public static byte[] encodeCommand(RolloutCommand command) {
        RolloutCommandData data = new RolloutCommandData().setRequestId(command.requestId());
        if (command instanceof RolloutCommand.Start start) {
            encodeStart(data, start);
        } else if (command instanceof RolloutCommand.ReportFault fault) {
            data.setKind(RolloutCommandKind.REPORT_FAULT)
                    .setRolloutId(fault.rolloutId())
                    .setReason(toData(fault.fault().reason()))
                    .setDetail(truncate(fault.fault().detail()));
        } else if (command instanceof RolloutCommand.ReportEvidence evidence) {
            data.setKind(RolloutCommandKind.REPORT_EVIDENCE)
                    .setReport(EvidenceCodec.toData(evidence.report()));
        } else if (command instanceof RolloutCommand.Advance advance) {
            data.setKind(RolloutCommandKind.ADVANCE)
                    .setAuthority(advance.authority())
                    .setRolloutId(advance.rolloutId())
                    .setStage(advance.stage());
        } else if (command instanceof RolloutCommand.RollBack rollBack) {
            data.setKind(RolloutCommandKind.ROLL_BACK)
                    .setAuthority(rollBack.authority())
                    .setRolloutId(rollBack.rolloutId())
                    .setReason(toData(rollBack.reason()))
                    .setDetail(truncate(rollBack.detail()));
        } else if (command instanceof RolloutCommand.Stop stop) {
            data.setKind(RolloutCommandKind.STOP)
                    .setAuthor(stop.author())
                    .setServiceName(stop.service().value())
                    .setModel(stop.model())
                    .setDetail(truncate(stop.detail()));
        } else if (command instanceof RolloutCommand.Complete complete) {
            data.setKind(RolloutCommandKind.COMPLETE)
                    .setAuthority(complete.authority())
                    .setRolloutId(complete.rolloutId());
        } else if (command instanceof RolloutCommand.AcquireAuthority acquire) {
            data.setKind(RolloutCommandKind.ACQUIRE_AUTHORITY).setAuthor(acquire.author());
        }
        return StructCodec.encode(data);
    }

    /**
     * Decodes a command.
     *
     * @param bytes the bytes
     * @return the command
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static RolloutCommand decodeCommand(byte[] bytes) {
        RolloutCommandData data =
                StructCodec.decode(bytes, MAX_COMMAND_BYTES, new RolloutCommandData());
        String id = StructCodec.requireText("request id", data.getRequestId(), MAX_ID_CHARS);
        RolloutCommandKind kind = StructCodec.require("kind", data.getKind());
        long rollout = data.getRolloutId();
        long authority = data.getAuthority();
        return switch (kind) {
            case START -> decodeStart(data, id);
            case REPORT_FAULT ->
                    new RolloutCommand.ReportFault(
                            id,
                            rollout,
                            new DetectedFault(
                                    requireFaultReason(data), requireDetail(data.getDetail())));
            case REPORT_EVIDENCE ->
                    new RolloutCommand.ReportEvidence(EvidenceCodec.fromData(data.getReport()));
            case ADVANCE ->
                    new RolloutCommand.Advance(
                            id, authority, rollout, requireStage(data.getStage()));
            case ROLL_BACK ->
                    new RolloutCommand.RollBack(
                            id,
                            authority,
                            rollout,
                            fromData(data.getReason()),
                            requireDetail(data.getDetail()));
            case STOP ->
                    new RolloutCommand.Stop(
                            id,
                            requireAuthor(data),
                            requireService(data.getServiceName()),
                            StructCodec.requireText("model", data.getModel(), MAX_ID_CHARS),
                            requireDetail(data.getDetail()));
            case COMPLETE -> new RolloutCommand.Complete(id, authority, rollout);
            case ACQUIRE_AUTHORITY -> new RolloutCommand.AcquireAuthority(id, requireAuthor(data));
        };
    }

    /**
     * Turns a result into a struct.
     *
     * @param result the result
     * @return the struct
     */
    public static RolloutResultData toData(RolloutResult result) {
        return new RolloutResultData(
                RolloutOutcomeData.valueOf(result.outcome().name()),
                result.number(),
                truncate(result.message()));
    }

    /**
     * Turns a struct into a result.
     *
     * @param data the struct, null if the sender did not set it
     * @return the result
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static RolloutResult fromData(@Nullable RolloutResultData data) {
        RolloutResultData struct = StructCodec.require("result", data);
        RolloutOutcomeData outcome = StructCodec.require("outcome", struct.getOutcome());
        return new RolloutResult(
                RolloutOutcome.valueOf(outcome.name()),
                struct.getNumber(),
                requireDetail(struct.getMessage()));
    }

    /**
     * Encodes a result.
     *
     * @param result the result
     * @return its bytes
     */
    public static byte[] encodeResult(RolloutResult result) {
        return StructCodec.encode(toData(result));
    }

    /**
     * Decodes a result.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static RolloutResult decodeResult(byte[] bytes) {
        return fromData(StructCodec.decode(bytes, MAX_COMMAND_BYTES, new RolloutResultData()));
    }

    /**
     * Encodes roll-outs.
     *
     * @param rollouts the roll-outs
     * @return their bytes
     */
    public static byte[] encodeRollouts(List<Rollout> rollouts) {
        return StructCodec.encode(new RolloutListData(toData(rollouts)));
    }

    /**
     * Decodes roll-outs.
     *
     * @param bytes the bytes
     * @return the roll-outs
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static List<Rollout> decodeRollouts(byte[] bytes) {
        RolloutListData data = StructCodec.decode(bytes, MAX_LIST_BYTES, new RolloutListData());
        return fromData(StructCodec.require("roll-outs", data.getRollouts()));
    }

    /**
     * Turns roll-outs into structs.
     *
     * @param rollouts the roll-outs
     * @return the structs
     */
    public static List<RolloutData> toData(Iterable<Rollout> rollouts) {
        List<RolloutData> list = new ArrayList<>();
        for (Rollout rollout : rollouts) {
            list.add(toData(rollout));
        }
        return list;
    }

    /**
     * Turns structs into roll-outs.
     *
     * @param list the structs
     * @return the roll-outs
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if one is malformed
     */
    public static List<Rollout> fromData(List<RolloutData> list) {
        List<Rollout> rollouts = new ArrayList<>();
        for (RolloutData data : list) {
            rollouts.add(fromData(data));
        }
        return rollouts;
    }

    /**
     * Converts a reason to its wire form.
     *
     * @param reason the reason
     * @return the wire form
     */
    public static RolloutReasonData toData(RolloutReason reason) {
        return RolloutReasonData.valueOf(reason.name());
    }

    /**
     * Converts the wire form to a reason.
     *
     * @param data the wire form, null if the sender did not set it
     * @return the reason
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not set
     */
    public static RolloutReason fromData(@Nullable RolloutReasonData data) {
        return RolloutReason.valueOf(StructCodec.require("reason", data).name());
    }

    private static void encodeStart(RolloutCommandData data, RolloutCommand.Start start) {
        data.setKind(RolloutCommandKind.START)
                .setAuthor(start.author())
                .setServiceName(start.service().value())
                .setModel(start.to().model())
                .setFromVersion(start.from().version())
                .setToVersion(start.to().version())
                .setDeadlineMillis(start.deadlineMillis())
                .setFirstShare(start.firstShare())
                .setCompleteUnjudged(start.completeUnjudged());
    }

    private static RolloutCommand decodeStart(RolloutCommandData data, String id) {
        return new RolloutCommand.Start(
                id,
                requireAuthor(data),
                requireService(data.getServiceName()),
                requireVersion(data.getModel(), data.getFromVersion()),
                requireVersion(data.getModel(), data.getToVersion()),
                data.getDeadlineMillis(),
                requireShare(data.getFirstShare()),
                data.isCompleteUnjudged());
    }

    private static RolloutData toData(Rollout rollout) {
        return new RolloutData()
                .setId(rollout.id())
                .setRevision(rollout.revision())
                .setServiceName(rollout.service().value())
                .setModel(rollout.to().model())
                .setFromVersion(rollout.from().version())
                .setToVersion(rollout.to().version())
                .setDeadlineMillis(rollout.deadlineMillis())
                .setFirstShare(rollout.firstShare())
                .setCompleteUnjudged(rollout.completeUnjudged())
                .setAuthor(rollout.author())
                .setStartedMillis(rollout.startedMillis())
                .setStage(rollout.stage())
                .setStageSinceMillis(rollout.stageSinceMillis())
                .setStatus(RolloutStatusData.valueOf(rollout.status().name()))
                .setReason(toData(rollout.reason()))
                .setDetail(truncate(rollout.detail()));
    }

    private static Rollout fromData(RolloutData data) {
        RolloutStatusData status = StructCodec.require("status", data.getStatus());
        return new Rollout(
                data.getId(),
                data.getRevision(),
                requireService(data.getServiceName()),
                requireVersion(data.getModel(), data.getFromVersion()),
                requireVersion(data.getModel(), data.getToVersion()),
                data.getDeadlineMillis(),
                requireShare(data.getFirstShare()),
                data.isCompleteUnjudged(),
                StructCodec.requireText("author", data.getAuthor(), MAX_AUTHOR_CHARS),
                data.getStartedMillis(),
                requireStage(data.getStage()),
                data.getStageSinceMillis(),
                RolloutStatus.valueOf(status.name()),
                fromData(data.getReason()),
                requireDetail(data.getDetail()));
    }

    private static String requireAuthor(RolloutCommandData data) {
        return StructCodec.requireText("author", data.getAuthor(), MAX_AUTHOR_CHARS);
    }

    private static ServiceId requireService(@Nullable String name) {
        return ServiceId.of(StructCodec.require("service", name));
    }

    private static ModelVersion requireVersion(@Nullable String model, @Nullable String version) {
        return ModelVersion.of(
                StructCodec.require("model", model), StructCodec.require("version", version));
    }

    private static RolloutReason requireFaultReason(RolloutCommandData data) {
        RolloutReason reason = fromData(data.getReason());
        if (!reason.isFault()) {
            throw malformed("reason", reason + " is not a fault");
        }
        return reason;
    }

    private static double requireShare(double share) {
        if (!(share > 0 && share <= 1)) {
            throw malformed("first share", "not above 0 and at most 1");
        }
        return share;
    }

    private static int requireStage(int stage) {
        if (!Stages.isValid(stage)) {
            throw malformed("stage", "no such stage");
        }
        return stage;
    }

    private static String requireDetail(@Nullable String text) {
        String detail = StructCodec.require("detail", text);
        if (detail.length() > MAX_DETAIL_CHARS) {
            throw malformed("detail", "longer than " + MAX_DETAIL_CHARS + " characters");
        }
        return detail;
    }

    private static String truncate(String text) {
        return text.length() <= MAX_DETAIL_CHARS ? text : text.substring(0, MAX_DETAIL_CHARS);
    }

    private static HemlockrackException malformed(String what, String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.STRUCT_MALFORMED, what, reason));
    }
}
