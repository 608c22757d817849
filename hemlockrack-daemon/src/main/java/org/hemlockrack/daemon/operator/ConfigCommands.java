package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.config.ConfigCommand;
import org.hemlockrack.config.ConfigOutcome;
import org.hemlockrack.config.ConfigResult;
import org.hemlockrack.config.Difference;
import org.hemlockrack.config.ValidationError;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.errors.RunState;
import org.jspecify.annotations.Nullable;

/** Changes of the configuration asked for by operators. */
public final class ConfigCommands {
    private static final long PROPOSE_MILLIS = 5_000;
    private static final long WAIT_DEFAULT_MILLIS = 10_000;
    private static final long CONFLICT_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int STATUS_OK = 200;

    /** Other operators' changes between reading and proposing are met by trying again. */
    private static final int MAX_CONFLICT_RETRIES = 5;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final Proposer mProposer;
    private final ConfigStateReader mHistory;
    private final ConfigWaits mWaits;
    private final VoterDirectory mVoters;

    /** Reads the history of versions; only voters hold it. */
    public interface ConfigStateReader {
        /** Returns the history as JSON, or null on an instance that does not hold the log. */
        @Nullable String historyJson();

        /**
         * Evaluates a command without proposing it.
         *
         * @param command the command
         * @return what it would do, or empty if this instance does not hold the log
         */
        Optional<DryRunResult> dryRun(ConfigCommand command);
    }

    /**
     * What a command would do.
     *
     * @param result its result
     * @param faults all faults
     * @param differences what it would change
     */
    public record DryRunResult(
            ConfigResult result, List<ValidationError> faults, List<Difference> differences) {}

    private ConfigCommands(
            EventLoop loop,
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigStateReader history,
            VoterDirectory voters) {
        mLoop = loop;
        mFleet = fleet;
        mConfig = config;
        mProposer = proposer;
        mHistory = history;
        mVoters = voters;
        mWaits = ConfigWaits.create(loop, fleet, config);
    }

    /**
     * Creates the commands.
     *
     * @param loop runs waits
     * @param fleet the fleet
     * @param config the configuration in force
     * @param proposer brings commands to the log
     * @param history the history
     * @param voters where the voters are
     * @return the commands
     */
    public static ConfigCommands create(
            EventLoop loop,
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigStateReader history,
            VoterDirectory voters) {
        return new ConfigCommands(loop, fleet, config, proposer, history, voters);
    }

    void patch(HttpCall call, Responder responder) {
        String requestId = call.header("X-Request-Id");
        if (requestId == null || requestId.isEmpty()) {
            requestId = UUID.randomUUID().toString();
        }
        String author = call.header("X-Author") == null ? "operator" : call.header("X-Author");
        ConfigCommand command =
                ConfigCommand.of(requestId, author, baseVersion(call), change(call));
        if ("true".equals(call.queryParameter("dry_run"))) {
            dryRun(command, responder);
            return;
        }
        propose(command).thenAccept(result -> answer(result, responder));
    }

    private static long baseVersion(HttpCall call) {
        String match = call.header("If-Match");
        if (match == null) {
            throw HemlockrackException.of(
                    ErrorKind.PRECONDITION_REQUIRED,
                    "the If-Match header with the base version is missing");
        }
        return Parameters.version("If-Match", match.replace("\"", "").trim());
    }

    private static ConfigCommand.Change change(HttpCall call) {
        String rollback = call.queryParameter("rollback");
        if (rollback != null) {
            return new ConfigCommand.Rollback(Parameters.version("rollback", rollback));
        }
        boolean json = String.valueOf(call.header("Content-Type")).contains("json");
        return json
                ? new ConfigCommand.JsonPatch(call.bodyText())
                : new ConfigCommand.TomlPatch(call.bodyText());
    }

    private void dryRun(ConfigCommand command, Responder responder) {
        Optional<DryRunResult> run = mHistory.dryRun(command);
        if (run.isEmpty()) {
            responder.sendError(ErrorKind.NOT_READY, mVoters.noLogHint(), 1_000);
            return;
        }
        ObjectNode json = resultJson(run.get().result());
        ArrayNode differences = json.putArray("differences");
        for (Difference difference : run.get().differences()) {
            ObjectNode row = differences.addObject();
            row.put("key", difference.path());
            row.put("before", difference.before().orElse(null));
            row.put("after", difference.after().orElse(null));
        }
        int status = run.get().result().isAccepted() ? STATUS_OK : statusOf(run.get().result());
        responder.sendJson(status, json.toString());
    }

    private CompletableFuture<ProposalOutcome> propose(ConfigCommand command) {
        byte[] bytes = StateMachineId.CONFIG.encodeCommand(command.encode());
        return mProposer.propose(bytes, PROPOSE_MILLIS);
    }

    private void answer(ProposalOutcome outcome, Responder responder) {
        byte[] bytes = outcome.result();
        if (outcome.status() != ProposalStatus.APPLIED || bytes == null) {
            boolean unknown = outcome.status() == ProposalStatus.UNKNOWN;
            responder.sendError(
                    ErrorKind.NO_QUORUM,
                    unknown ? RunState.UNKNOWN : RunState.NOT_RUN,
                    "the change was not decided in time; resend it with the same X-Request-Id",
                    1_000);
            return;
        }
        ConfigResult result = ConfigResult.decode(bytes);
        HeaderField etag = HeaderField.of("ETag", "\"" + result.version() + "\"");
        int status = result.isAccepted() ? STATUS_OK : statusOf(result);
        responder.sendJson(status, resultJson(result).toString(), etag);
    }

    private static int statusOf(ConfigResult result) {
        return result.outcome().errorKind().map(ErrorKind::httpStatus).orElse(STATUS_OK);
    }

    private static ObjectNode resultJson(ConfigResult result) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("version", result.version());
        json.put("outcome", result.outcome().name());
        if (result.outcome().errorKind().isPresent()) {
            ErrorKind kind = result.outcome().errorKind().get();
            ObjectNode error = json.putObject("error");
            error.put("kind", kind.name());
            error.put("message", message(result));
            error.put("ran", kind.runState().wireName());
        }
        ArrayNode faults = json.putArray("faults");
        for (ValidationError fault : result.errors()) {
            faults.add(fault.toString());
        }
        return json;
    }

    private static String message(ConfigResult result) {
        boolean bare = result.message().isEmpty();
        return bare ? "faults in the document: " + result.errors().size() : result.message();
    }

    void history(HttpCall call, Responder responder) {
        String json = mHistory.historyJson();
        if (json == null) {
            responder.sendError(ErrorKind.NOT_READY, mVoters.noLogHint(), 1_000);
            return;
        }
        responder.sendJson(STATUS_OK, json);
    }

    void await(HttpCall call, Responder responder) {
        long version = Parameters.version("version", call.queryParameter("version"));
        long timeoutMillis = Parameters.timeoutMillis(call, WAIT_DEFAULT_MILLIS);
        mWaits.start(version, timeoutMillis, responder);
    }

    void zone(String[] parts, Responder responder) {
        String zone = Parameters.name("zone name", parts[1]);
        if (!parts[2].equals("in") && !parts[2].equals("out")) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "zone state \"" + parts[2] + "\"; allowed: in, out");
        }
        change("zones", zone, "state", "\"" + parts[2] + "\"", responder);
    }

    void drain(String[] parts, Responder responder) {
        String instance = Parameters.name("instance id", parts[1]);
        if (!parts[2].equals("drain") && !parts[2].equals("undrain")) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "allowed: drain, undrain; found: " + parts[2]);
        }
        String value = Boolean.toString(parts[2].equals("drain"));
        change("instances", instance, "drain", value, responder);
    }

    private void change(
            String section, String name, String key, String valueJson, Responder responder) {
        String patch =
                String.format("{\"%s\":{\"%s\":{\"%s\":%s}}}", section, name, key, valueJson);
        changeOnCurrent(patch, UUID.randomUUID().toString(), 0, responder);
    }

    private void changeOnCurrent(String patch, String id, int round, Responder responder) {
        ConfigCommand command =
                ConfigCommand.of(
                        id + "-" + round,
                        "operator",
                        Math.max(mConfig.current().version(), mFleet.view().configVersion()),
                        new ConfigCommand.JsonPatch(patch));
        propose(command)
                .thenAccept(
                        outcome -> {
                            if (isConflict(outcome) && round < MAX_CONFLICT_RETRIES) {
                                mLoop.scheduleAt(
                                        mLoop.nowNanos() + CONFLICT_PAUSE_NANOS,
                                        () -> changeOnCurrent(patch, id, round + 1, responder));
                                return;
                            }
                            answer(outcome, responder);
                        });
    }

    private static boolean isConflict(ProposalOutcome outcome) {
        byte[] bytes = outcome.result();
        return bytes != null && ConfigResult.decode(bytes).outcome() == ConfigOutcome.CONFLICT;
    }
}
