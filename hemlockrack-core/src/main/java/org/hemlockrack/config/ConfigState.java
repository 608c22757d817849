package org.hemlockrack.config;

import com.fasterxml.jackson.databind.node.ObjectNode;
import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.config.internal.ConfigCodec;
import org.hemlockrack.config.internal.Differences;
import org.hemlockrack.config.internal.Patches;
import org.hemlockrack.config.internal.ResultCache;
import org.hemlockrack.config.internal.VersionHistory;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.ConfigSnapshotData;
import org.hemlockrack.wire.HistoryEntryData;
import org.hemlockrack.wire.RememberedResultData;
import org.jspecify.annotations.Nullable;

/**
 * The versioned configuration as replicated by the voters. The first command on a base version
 * wins; a retry with the same request id gets the result of the first attempt. Accepted and refused
 * results are cached separately, so that refusals never evict accepted ones. An accepted command
 * whose result was evicted cannot take effect again, because its base version stays below the
 * version in force.
 */
public final class ConfigState implements ReplicatedState {
    /**
     * A change validates and prints the whole document, about 49 ms with 1,300 workspaces.
     * Replaying 10,000 changes after a restart would take 8 minutes; with this cost a restart
     * replays at most 200.
     */
    private static final int REPLAY_COST = 50;

    /** About a week of accepted commands at 1,500 changes per day. */
    private static final int MAX_ACCEPTED_RESULTS = 10_000;

    private static final int MAX_REFUSED_RESULTS = 1_000;
    private static final long MAX_ACCEPTED_CHARS = 8 << 20;
    private static final long MAX_REFUSED_CHARS = 2 << 20;

    /** Covers the document, the history and the cached results at their limits. */
    private static final int MAX_SNAPSHOT_BYTES = 128 << 20;

    private final ResultCache mAccepted = ResultCache.of(MAX_ACCEPTED_RESULTS, MAX_ACCEPTED_CHARS);
    private final ResultCache mRefused = ResultCache.of(MAX_REFUSED_RESULTS, MAX_REFUSED_CHARS);
    private final VersionHistory mHistory = VersionHistory.create();
    private Configuration mConfiguration = Configuration.empty();
    private long mVersion;

    private ConfigState() {}

    /**
     * The effect that a command would have.
     *
     * @param result the result that it would get
     * @param errors all errors in the document, including those beyond the limit of a result
     * @param differences what it would change
     */
    public record DryRun(
            ConfigResult result, List<ValidationError> errors, List<Difference> differences) {}

    private record Evaluation(DryRun dryRun, @Nullable Configuration next) {}

    /** Returns the state before the first version: version 0, nothing configured. */
    public static ConfigState create() {
        return new ConfigState();
    }

    /** Returns the version in force; 0 before the first. */
    public long version() {
        return mVersion;
    }

    /** Returns the configuration in force. */
    public Configuration configuration() {
        return mConfiguration;
    }

    /** Returns the retained history, oldest version first. */
    public List<HistoryEntry> history() {
        return mHistory.entries();
    }

    /**
     * Evaluates a command against the version in force without applying it.
     *
     * @param command the command
     * @return its result and differences
     */
    public DryRun dryRun(ConfigCommand command) {
        return evaluate(command).dryRun();
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        ConfigCommand decoded;
        try {
            decoded = ConfigCodec.decodeCommand(command);
        } catch (HemlockrackException e) {
            return ConfigCodec.encodeResult(refusedResult(ConfigOutcome.MALFORMED, e));
        }
        HashCode hash = Hashing.sha256().hashBytes(command);
        return ConfigCodec.encodeResult(applyOnce(leaderTimeMillis, decoded, hash));
    }

    @Override
    public int replayCost(byte[] command) {
        return REPLAY_COST;
    }

    @Override
    public byte[] snapshot() {
        List<HistoryEntryData> history = new ArrayList<>();
        for (HistoryEntry entry : mHistory.entries()) {
            history.add(ConfigCodec.toData(entry));
        }
        List<RememberedResultData> results = new ArrayList<>();
        for (ResultCache cache : List.of(mAccepted, mRefused)) {
            for (ResultCache.Entry entry : cache.entries()) {
                results.add(toData(entry));
            }
        }
        return StructCodec.encode(
                new ConfigSnapshotData(mVersion, mConfiguration.toJson(), history, results));
    }

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes from {@link #snapshot}
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed; the
     *     state is then unchanged
     */
    @Override
    public void restore(byte[] snapshot) {
        ConfigSnapshotData data =
                StructCodec.decode(snapshot, MAX_SNAPSHOT_BYTES, new ConfigSnapshotData());
        Configuration configuration =
                Configuration.parseJson(StructCodec.require("document", data.getDocument()));
        List<HistoryEntry> history = new ArrayList<>();
        for (HistoryEntryData entry : StructCodec.require("history", data.getHistory())) {
            history.add(ConfigCodec.fromData(entry));
        }
        List<ResultCache.Entry> results = new ArrayList<>();
        for (RememberedResultData entry : StructCodec.require("results", data.getResults())) {
            results.add(fromData(entry));
        }
        mVersion = data.getVersion();
        mConfiguration = configuration;
        mHistory.clear();
        history.forEach(mHistory::add);
        mAccepted.clear();
        mRefused.clear();
        results.forEach(this::cacheResult);
    }

    private ConfigResult applyOnce(long timeMillis, ConfigCommand command, HashCode hash) {
        ResultCache.Entry cached = findResult(command.requestId());
        if (cached != null) {
            return cached.commandHash().equals(hash) ? cached.result() : requestIdReused(command);
        }
        Evaluation evaluation = evaluate(command);
        ConfigResult result = evaluation.dryRun().result();
        if (evaluation.next() != null) {
            mConfiguration = evaluation.next();
            mVersion = result.version();
            mHistory.add(
                    new HistoryEntry(
                            mVersion,
                            timeMillis,
                            command.author(),
                            command.requestId(),
                            evaluation.dryRun().differences()));
        }
        cacheResult(new ResultCache.Entry(command.requestId(), hash, result));
        return result;
    }

    private ResultCache.@Nullable Entry findResult(String requestId) {
        ResultCache.Entry accepted = mAccepted.find(requestId);
        return accepted == null ? mRefused.find(requestId) : accepted;
    }

    private void cacheResult(ResultCache.Entry entry) {
        (entry.result().isAccepted() ? mAccepted : mRefused).add(entry);
    }

    private ConfigResult requestIdReused(ConfigCommand command) {
        String text = String.format(ErrorText.REQUEST_ID_REUSED, command.requestId());
        return ConfigResult.of(ConfigOutcome.REQUEST_ID_REUSED, mVersion, text);
    }

    private Evaluation evaluate(ConfigCommand command) {
        if (command.baseVersion() != mVersion) {
            String text =
                    String.format(ErrorText.VERSION_CONFLICT, command.baseVersion(), mVersion);
            return refusedEvaluation(
                    ConfigResult.of(ConfigOutcome.CONFLICT, mVersion, text), List.of());
        }
        ObjectNode document = mConfiguration.tree();
        try {
            applyChange(document, command.change());
        } catch (HemlockrackException e) {
            boolean isUnknownVersion = e.kind() == ErrorKind.NOT_FOUND;
            ConfigOutcome outcome =
                    isUnknownVersion ? ConfigOutcome.NOT_KEPT : ConfigOutcome.MALFORMED;
            return refusedEvaluation(refusedResult(outcome, e), List.of());
        }
        Configuration.ValidationResult validation = Configuration.check(document);
        if (validation.configuration().isEmpty()) {
            return refusedEvaluation(
                    ConfigResult.invalid(mVersion, validation.errors()), validation.errors());
        }
        Configuration next = validation.configuration().get();
        Optional<ValidationError> sizeError = next.sizeError();
        if (sizeError.isPresent()) {
            return refusedEvaluation(
                    ConfigResult.invalid(mVersion, List.of(sizeError.get())),
                    List.of(sizeError.get()));
        }
        return acceptedEvaluation(document, next);
    }

    private Evaluation acceptedEvaluation(ObjectNode document, Configuration next) {
        List<Difference> differences = Differences.between(mConfiguration.tree(), document);
        ConfigResult result = ConfigResult.of(ConfigOutcome.ACCEPTED, mVersion + 1, "");
        return new Evaluation(new DryRun(result, List.of(), differences), next);
    }

    private static Evaluation refusedEvaluation(ConfigResult result, List<ValidationError> errors) {
        return new Evaluation(new DryRun(result, errors, List.of()), null);
    }

    private ConfigResult refusedResult(ConfigOutcome outcome, HemlockrackException cause) {
        return ConfigResult.of(outcome, mVersion, String.valueOf(cause.getMessage()));
    }

    private void applyChange(ObjectNode document, ConfigCommand.Change change) {
        if (change instanceof ConfigCommand.JsonPatch json) {
            Patches.applyJson(document, json.text());
        } else if (change instanceof ConfigCommand.TomlPatch toml) {
            Patches.applyToml(document, toml.text());
        } else if (change instanceof ConfigCommand.Rollback rollback) {
            rollBack(document, rollback.version());
        }
    }

    private void rollBack(ObjectNode document, long version) {
        long lowest = mHistory.lowestRestorableVersion(mVersion);
        if (version < lowest || version > mVersion) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    String.format(ErrorText.VERSION_NOT_KEPT, version, lowest, mVersion));
        }
        mHistory.restoreVersion(document, version);
    }

    private static RememberedResultData toData(ResultCache.Entry entry) {
        return new RememberedResultData()
                .setRequestId(entry.requestId())
                .setCommandHash(entry.commandHash().asBytes())
                .setResult(ConfigCodec.toData(entry.result()));
    }

    private static ResultCache.Entry fromData(RememberedResultData data) {
        return new ResultCache.Entry(
                StructCodec.require("request id", data.getRequestId()),
                HashCode.fromBytes(StructCodec.require("command hash", data.getCommandHash())),
                ConfigCodec.fromData(StructCodec.require("result", data.getResult())));
    }
}
