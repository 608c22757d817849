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
import org.hemlockrack.limits.ParseMemory;
import org.jspecify.annotations.Nullable;

/** Handles operators' requests that read, change or wait for configuration versions. */
public final class ConfigCommands {
    private static final long PROPOSE_TIMEOUT_MILLIS = 5_000;
    private static final long DEFAULT_WAIT_MILLIS = 10_000;
    private static final long CONFLICT_RETRY_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(50);
    private static final int STATUS_OK = 200;

    /** Maximum retries of a change when other operators change the configuration meanwhile. */
    private static final int MAX_CONFLICT_RETRIES = 5;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final Proposer mProposer;
    private final ConfigStateReader mStateReader;
    private final ConfigWaitService mWaitService;
    private final VoterAddresses mVoterAddresses;

    /** Reads the replicated configuration state, which only voters hold. */
    public interface ConfigStateReader {
        /** Returns the history of versions as JSON, or null if this instance is not a voter. */
        @Nullable String historyJson();

        /**
         * Evaluates a command without proposing it.
         *
         * @param command the command
         * @return the effect that it would have, or empty if this instance is not a voter
         */
        Optional<DryRunResult> dryRun(ConfigCommand command);
    }

    /**
     * The effect that a command would have.
     *
     * @param result the result that it would return
     * @param errors all validation errors
     * @param differences the settings that it would change
     */
    public record DryRunResult(
            ConfigResult result, List<ValidationError> errors, List<Difference> differences) {}

    private ConfigCommands(
            EventLoop loop,
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigStateReader stateReader,
            VoterAddresses voterAddresses) {
        mLoop = loop;
        mFleet = fleet;
        mConfig = config;
        mProposer = proposer;
        mStateReader = stateReader;
        mVoterAddresses = voterAddresses;
        mWaitService = ConfigWaitService.create(loop, fleet, config);
    }

    /**
     * Creates the commands.
     *
     * @param loop loop that runs waits and retries
     * @param fleet the fleet
     * @param config the configuration in force
     * @param proposer proposes commands to the replicated log
     * @param stateReader reader of the replicated configuration state
     * @param voterAddresses addresses of the voters, for error messages
     * @return the commands
     */
    public static ConfigCommands create(
            EventLoop loop,
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigStateReader stateReader,
            VoterAddresses voterAddresses) {
        return new ConfigCommands(loop, fleet, config, proposer, stateReader, voterAddresses);
    }

    void patch(HttpCall call, Responder responder) {
        String requestId = call.header("X-Request-Id");
        if (requestId == null || requestId.isEmpty()) {
            requestId = UUID.randomUUID().toString();
        }
        String author = call.header("X-Author") == null ? "operator" : call.header("X-Author");
        ConfigCommand command =
                ConfigCommand.of(requestId, author, parseBaseVersion(call), parseChange(call));
        // Every voter parses an accepted change later, so one that is too large is refused here.
        try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(call.body())) {
            if ("true".equals(call.queryParameter("dry_run"))) {
                dryRun(command, responder);
                return;
            }
        }
        propose(command).thenAccept(outcome -> sendOutcome(outcome, responder));
    }

    private static long parseBaseVersion(HttpCall call) {
        String match = call.header("If-Match");
        if (match == null) {
            throw HemlockrackException.of(
                    ErrorKind.PRECONDITION_REQUIRED,
                    "the If-Match header with the base version is missing");
        }
        return RequestParameters.parseVersion("If-Match", match.replace("\"", "").trim());
    }

    private static ConfigCommand.Change parseChange(HttpCall call) {
        String rollback = call.queryParameter("rollback");
        if (rollback != null) {
            return new ConfigCommand.Rollback(RequestParameters.parseVersion("rollback", rollback));
        }
        boolean json = String.valueOf(call.header("Content-Type")).contains("json");
        return json
                ? new ConfigCommand.JsonPatch(call.bodyText())
                : new ConfigCommand.TomlPatch(call.bodyText());
    }

    private void dryRun(ConfigCommand command, Responder responder) {
        Optional<DryRunResult> effect = mStateReader.dryRun(command);
        if (effect.isEmpty()) {
            responder.sendError(ErrorKind.NOT_READY, mVoterAddresses.noLogMessage(), 1_000);
            return;
        }
        ObjectNode json = resultJson(effect.get().result());
        ArrayNode differences = json.putArray("differences");
        for (Difference difference : effect.get().differences()) {
            ObjectNode row = differences.addObject();
            row.put("key", difference.path());
            row.put("before", difference.before().orElse(null));
            row.put("after", difference.after().orElse(null));
        }
        int status =
                effect.get().result().isAccepted() ? STATUS_OK : httpStatus(effect.get().result());
        responder.sendJson(status, json.toString());
    }

    private CompletableFuture<ProposalOutcome> propose(ConfigCommand command) {
        byte[] bytes = StateMachineId.CONFIG.encodeCommand(command.encode());
        return mProposer.propose(bytes, PROPOSE_TIMEOUT_MILLIS);
    }

    private void sendOutcome(ProposalOutcome outcome, Responder responder) {
        byte[] bytes = outcome.result();
        if (outcome.status() != ProposalStatus.APPLIED || bytes == null) {
            boolean unknown = outcome.status() == ProposalStatus.UNKNOWN;
            responder.sendError(
                    ErrorKind.NO_QUORUM,
                    unknown ? RunState.UNKNOWN : RunState.NOT_RUN,
                    "the change was not committed in time; resend it with the same X-Request-Id",
                    1_000);
            return;
        }
        ConfigResult result = ConfigResult.decode(bytes);
        HeaderField etag = HeaderField.of("ETag", "\"" + result.version() + "\"");
        int status = result.isAccepted() ? STATUS_OK : httpStatus(result);
        responder.sendJson(status, resultJson(result).toString(), etag);
    }

    private static int httpStatus(ConfigResult result) {
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
            error.put("message", errorMessage(result));
            error.put("ran", kind.runState().wireName());
        }
        ArrayNode faults = json.putArray("faults");
        for (ValidationError error : result.errors()) {
            faults.add(error.toString());
        }
        return json;
    }

    private static String errorMessage(ConfigResult result) {
        boolean hasNoMessage = result.message().isEmpty();
        return hasNoMessage
                ? "faults in the document: " + result.errors().size()
                : result.message();
    }

    void sendHistory(HttpCall call, Responder responder) {
        String json = mStateReader.historyJson();
        if (json == null) {
            responder.sendError(ErrorKind.NOT_READY, mVoterAddresses.noLogMessage(), 1_000);
            return;
        }
        responder.sendJsonDocument(STATUS_OK, json);
    }

    void awaitVersion(HttpCall call, Responder responder) {
        long version = RequestParameters.parseVersion("version", call.queryParameter("version"));
        long timeoutMillis = RequestParameters.parseTimeoutMillis(call, DEFAULT_WAIT_MILLIS);
        mWaitService.start(version, timeoutMillis, responder);
    }

    void setZoneState(String[] segments, Responder responder) {
        String zone = RequestParameters.decodeName("zone name", segments[1]);
        if (!segments[2].equals("in") && !segments[2].equals("out")) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "zone state \"" + segments[2] + "\"; allowed: in, out");
        }
        setValue("zones", zone, "state", "\"" + segments[2] + "\"", responder);
    }

    void setDrain(String[] segments, Responder responder) {
        String instance = RequestParameters.decodeName("instance id", segments[1]);
        if (!segments[2].equals("drain") && !segments[2].equals("undrain")) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "allowed: drain, undrain; found: " + segments[2]);
        }
        String value = Boolean.toString(segments[2].equals("drain"));
        setValue("instances", instance, "drain", value, responder);
    }

    private void setValue(
            String section, String name, String key, String valueJson, Responder responder) {
        String patch =
                String.format("{\"%s\":{\"%s\":{\"%s\":%s}}}", section, name, key, valueJson);
        patchCurrentVersion(patch, UUID.randomUUID().toString(), 0, responder);
    }

    /** Applies a patch to the newest known version; proposes it again after a conflict. */
    private void patchCurrentVersion(
            String patch, String requestId, int retry, Responder responder) {
        ConfigCommand command =
                ConfigCommand.of(
                        requestId + "-" + retry,
                        "operator",
                        Math.max(mConfig.current().version(), mFleet.view().configVersion()),
                        new ConfigCommand.JsonPatch(patch));
        propose(command)
                .thenAccept(
                        outcome -> {
                            if (isConflict(outcome) && retry < MAX_CONFLICT_RETRIES) {
                                mLoop.scheduleAt(
                                        mLoop.nowNanos() + CONFLICT_RETRY_DELAY_NANOS,
                                        () ->
                                                patchCurrentVersion(
                                                        patch, requestId, retry + 1, responder));
                                return;
                            }
                            sendOutcome(outcome, responder);
                        });
    }

    private static boolean isConflict(ProposalOutcome outcome) {
        byte[] bytes = outcome.result();
        return bytes != null && ConfigResult.decode(bytes).outcome() == ConfigOutcome.CONFLICT;
    }
}
