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
import org.hemlockrack.config.internal.History;
import org.hemlockrack.config.internal.Patches;
import org.hemlockrack.config.internal.ResultMemory;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.wire.ConfigSnapshotData;
import org.hemlockrack.wire.HistoryEntryData;
import org.hemlockrack.wire.RememberedResultData;
import org.jspecify.annotations.Nullable;

/**
 * The numbered configuration as replicated by the voters. The first command on a base version wins;
 * a resend with the same request id gets the first result. Accepted and refused results are
 * remembered apart, so refusals never displace accepted ones. A forgotten accepted command cannot
 * take effect again: its base version is below the version in force for good.
 */
public final class ConfigState implements ReplicatedState {
    /**
     * A change checks and prints the whole document. At 1,300 workspaces that took 49 ms, so a
     * restart that replays 10,000 changes would take 8 minutes; with this cost it replays 200.
     */
    private static final int REPLAY_COST = 50;

    /** About a week of accepted commands at 1,500 changes a day. */
    private static final int MAX_ACCEPTED_RESULTS = 10_000;

    private static final int MAX_REFUSED_RESULTS = 1_000;
    private static final long MAX_ACCEPTED_CHARS = 8 << 20;
    private static final long MAX_REFUSED_CHARS = 2 << 20;

    /** Covers the document, the history and the remembered results at their bounds. */
    private static final int MAX_SNAPSHOT_BYTES = 128 << 20;

    private final ResultMemory mAccepted =
            ResultMemory.of(MAX_ACCEPTED_RESULTS, MAX_ACCEPTED_CHARS);
    private final ResultMemory mRefused = ResultMemory.of(MAX_REFUSED_RESULTS, MAX_REFUSED_CHARS);
    private final History mHistory = History.create();
    private Configuration mConfiguration = Configuration.empty();
    private long mVersion;

    private ConfigState() {}

    /**
     * What a command would do.
     *
     * @param result the result that it would get
     * @param errors all faults of the document, also those that do not fit into the result
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

    /** Returns the kept history from the oldest version on. */
    public List<HistoryEntry> history() {
        return mHistory.entries();
    }

    /**
     * Evaluates a command on the version in force without changing anything.
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
            return ConfigCodec.encodeResult(refusal(ConfigOutcome.MALFORMED, e));
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
        for (ResultMemory memory : List.of(mAccepted, mRefused)) {
            for (ResultMemory.Entry entry : memory.entries()) {
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
        List<ResultMemory.Entry> results = new ArrayList<>();
        for (RememberedResultData entry : StructCodec.require("results", data.getResults())) {
            results.add(fromData(entry));
        }
        mVersion = data.getVersion();
        mConfiguration = configuration;
        mHistory.clear();
        history.forEach(mHistory::add);
        mAccepted.clear();
        mRefused.clear();
        results.forEach(this::remember);
    }

    private ConfigResult applyOnce(long timeMillis, ConfigCommand command, HashCode hash) {
        ResultMemory.Entry known = find(command.requestId());
        if (known != null) {
            return known.commandHash().equals(hash) ? known.result() : reused(command);
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
        remember(new ResultMemory.Entry(command.requestId(), hash, result));
        return result;
    }

    private ResultMemory.@Nullable Entry find(String requestId) {
        ResultMemory.Entry accepted = mAccepted.find(requestId);
        return accepted == null ? mRefused.find(requestId) : accepted;
    }

    private void remember(ResultMemory.Entry entry) {
        (entry.result().isAccepted() ? mAccepted : mRefused).add(entry);
    }

    private ConfigResult reused(ConfigCommand command) {
        String text = String.format(ErrorText.REQUEST_ID_REUSED, command.requestId());
        return ConfigResult.of(ConfigOutcome.REQUEST_ID_REUSED, mVersion, text);
    }

    private Evaluation evaluate(ConfigCommand command) {
        if (command.baseVersion() != mVersion) {
            String text =
                    String.format(ErrorText.VERSION_CONFLICT, command.baseVersion(), mVersion);
            return refused(ConfigResult.of(ConfigOutcome.CONFLICT, mVersion, text), List.of());
        }
        ObjectNode document = mConfiguration.tree();
        try {
            change(document, command.change());
        } catch (HemlockrackException e) {
            boolean notKept = e.kind() == ErrorKind.NOT_FOUND;
            ConfigOutcome outcome = notKept ? ConfigOutcome.NOT_KEPT : ConfigOutcome.MALFORMED;
            return refused(refusal(outcome, e), List.of());
        }
        Configuration.ValidationResult check = Configuration.check(document);
        if (check.configuration().isEmpty()) {
            return refused(ConfigResult.invalid(mVersion, check.errors()), check.errors());
        }
        Configuration next = check.configuration().get();
        Optional<ValidationError> size = next.sizeFault();
        if (size.isPresent()) {
            return refused(
                    ConfigResult.invalid(mVersion, List.of(size.get())), List.of(size.get()));
        }
        return accepted(document, next);
    }

    private Evaluation accepted(ObjectNode document, Configuration next) {
        List<Difference> differences = Differences.between(mConfiguration.tree(), document);
        ConfigResult result = ConfigResult.of(ConfigOutcome.ACCEPTED, mVersion + 1, "");
        return new Evaluation(new DryRun(result, List.of(), differences), next);
    }

    private static Evaluation refused(ConfigResult result, List<ValidationError> faults) {
        return new Evaluation(new DryRun(result, faults, List.of()), null);
    }

    private ConfigResult refusal(ConfigOutcome outcome, HemlockrackException cause) {
        return ConfigResult.of(outcome, mVersion, String.valueOf(cause.getMessage()));
    }

    private void change(ObjectNode document, ConfigCommand.Change change) {
        if (change instanceof ConfigCommand.JsonPatch json) {
            Patches.applyJson(document, json.text());
        } else if (change instanceof ConfigCommand.TomlPatch toml) {
            Patches.applyToml(document, toml.text());
        } else if (change instanceof ConfigCommand.Rollback rollback) {
            rollBack(document, rollback.version());
        }
    }

    private void rollBack(ObjectNode document, long version) {
        long lowest = mHistory.lowestVersion(mVersion);
        if (version < lowest || version > mVersion) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND,
                    String.format(ErrorText.VERSION_NOT_KEPT, version, lowest, mVersion));
        }
        mHistory.restore(document, version);
    }

    private static RememberedResultData toData(ResultMemory.Entry entry) {
        return new RememberedResultData()
                .setRequestId(entry.requestId())
                .setCommandHash(entry.commandHash().asBytes())
                .setResult(ConfigCodec.toData(entry.result()));
    }

    private static ResultMemory.Entry fromData(RememberedResultData data) {
        return new ResultMemory.Entry(
                StructCodec.require("request id", data.getRequestId()),
                HashCode.fromBytes(StructCodec.require("command hash", data.getCommandHash())),
                ConfigCodec.fromData(StructCodec.require("result", data.getResult())));
    }
}
