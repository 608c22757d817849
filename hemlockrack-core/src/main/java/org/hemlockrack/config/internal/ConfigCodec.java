package org.hemlockrack.config.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.config.ConfigOutcome;
import org.hemlockrack.config.ConfigResult;
import org.hemlockrack.config.Difference;
import org.hemlockrack.config.HistoryEntry;
import org.hemlockrack.config.ValidationError;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.ConfigCommandData;
import org.hemlockrack.wire.ConfigCommandKind;
import org.hemlockrack.wire.ConfigOutcomeData;
import org.hemlockrack.wire.ConfigResultData;
import org.hemlockrack.wire.DifferenceData;
import org.hemlockrack.wire.FaultData;
import org.hemlockrack.wire.HistoryEntryData;

/** Converts commands, results and history entries to Thrift structs and back. */
public final class ConfigCodec {
    /** A longest patch at four bytes per character in UTF-8, and the other fields. */
    public static final int MAX_COMMAND_BYTES = 4 * DocumentTrees.MAX_TEXT_CHARS + 4096;

    private static final int MAX_RESULT_BYTES = 4 << 20;
    private static final int MAX_ID_CHARS = 128;

    private ConfigCodec() {}

    /**
     * Encodes a command.
     *
     * @param command the command
     * @return its bytes
     */
    public static byte[] encodeCommand(ConfigCommand command) {
        ConfigCommandData data =
                new ConfigCommandData()
                        .setRequestId(command.requestId())
                        .setAuthor(command.author())
                        .setBaseVersion(command.baseVersion());
        ConfigCommand.Change change = command.change();
        if (change instanceof ConfigCommand.JsonPatch json) {
            data.setKind(ConfigCommandKind.PATCH_JSON).setPatch(json.text());
        } else if (change instanceof ConfigCommand.TomlPatch toml) {
            data.setKind(ConfigCommandKind.PATCH_TOML).setPatch(toml.text());
        } else if (change instanceof ConfigCommand.Rollback rollback) {
            data.setKind(ConfigCommandKind.ROLLBACK).setTargetVersion(rollback.version());
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
    public static ConfigCommand decodeCommand(byte[] bytes) {
        ConfigCommandData data =
                StructCodec.decode(bytes, MAX_COMMAND_BYTES, new ConfigCommandData());
        String requestId = StructCodec.requireText("request id", data.getRequestId(), MAX_ID_CHARS);
        String author = StructCodec.requireText("author", data.getAuthor(), MAX_ID_CHARS);
        return ConfigCommand.of(requestId, author, data.getBaseVersion(), change(data));
    }

    /**
     * Encodes a result.
     *
     * @param result the result
     * @return its bytes
     */
    public static byte[] encodeResult(ConfigResult result) {
        return StructCodec.encode(toData(result));
    }

    /**
     * Decodes a result.
     *
     * @param bytes the bytes
     * @return the result
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed
     */
    public static ConfigResult decodeResult(byte[] bytes) {
        return fromData(StructCodec.decode(bytes, MAX_RESULT_BYTES, new ConfigResultData()));
    }

    /**
     * Converts a result to a struct.
     *
     * @param result the result
     * @return the struct
     */
    public static ConfigResultData toData(ConfigResult result) {
        List<FaultData> faults = new ArrayList<>();
        for (ValidationError error : result.errors()) {
            faults.add(new FaultData(error.path(), error.found(), error.allowed()));
        }
        return new ConfigResultData(
                ConfigOutcomeData.valueOf(result.outcome().name()),
                result.version(),
                result.message(),
                faults,
                result.totalErrors());
    }

    /**
     * Converts a struct to a result.
     *
     * @param data the struct
     * @return the result
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if fields are missing
     */
    public static ConfigResult fromData(ConfigResultData data) {
        List<ValidationError> errors = new ArrayList<>();
        for (FaultData fault : StructCodec.require("faults", data.getFaults())) {
            errors.add(
                    new ValidationError(
                            StructCodec.require("path", fault.getPath()),
                            StructCodec.require("found", fault.getFound()),
                            StructCodec.require("allowed", fault.getAllowed())));
        }
        ConfigOutcomeData outcome = StructCodec.require("outcome", data.getOutcome());
        return new ConfigResult(
                ConfigOutcome.valueOf(outcome.name()),
                data.getVersion(),
                StructCodec.require("message", data.getMessage()),
                errors,
                data.getTotalFaults());
    }

    /**
     * Converts a history entry to a struct.
     *
     * @param entry the entry
     * @return the struct
     */
    public static HistoryEntryData toData(HistoryEntry entry) {
        List<DifferenceData> differences = new ArrayList<>();
        for (Difference difference : entry.differences()) {
            DifferenceData data = new DifferenceData().setPath(difference.segments());
            difference.before().ifPresent(data::setBefore);
            difference.after().ifPresent(data::setAfter);
            differences.add(data);
        }
        return new HistoryEntryData(
                entry.version(),
                entry.timeMillis(),
                entry.author(),
                entry.requestId(),
                differences);
    }

    /**
     * Converts a struct to a history entry.
     *
     * @param data the struct
     * @return the entry
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if fields are missing
     */
    public static HistoryEntry fromData(HistoryEntryData data) {
        List<Difference> differences = new ArrayList<>();
        for (DifferenceData difference :
                StructCodec.require("differences", data.getDifferences())) {
            differences.add(
                    new Difference(
                            StructCodec.require("path", difference.getPath()),
                            Optional.ofNullable(difference.getBefore()),
                            Optional.ofNullable(difference.getAfter())));
        }
        return new HistoryEntry(
                data.getVersion(),
                data.getTimeMillis(),
                StructCodec.require("author", data.getAuthor()),
                StructCodec.require("request id", data.getRequestId()),
                differences);
    }

    private static ConfigCommand.Change change(ConfigCommandData data) {
        ConfigCommandKind kind = StructCodec.require("kind", data.getKind());
        return switch (kind) {
            case PATCH_JSON -> new ConfigCommand.JsonPatch(patch(data));
            case PATCH_TOML -> new ConfigCommand.TomlPatch(patch(data));
            case ROLLBACK -> new ConfigCommand.Rollback(data.getTargetVersion());
        };
    }

    private static String patch(ConfigCommandData data) {
        return StructCodec.requireText("patch", data.getPatch(), DocumentTrees.MAX_TEXT_CHARS);
    }
}
