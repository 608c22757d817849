package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.io.IOException;
import java.util.UUID;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutResult;

/** Handles operators' requests that start, stop or list roll-outs. */
public final class RolloutCommands {
    private static final long PROPOSE_TIMEOUT_MILLIS = 5_000;
    private static final double DEFAULT_FIRST_SHARE = 0.05;
    private static final int STATUS_OK = 200;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final Proposer mProposer;
    private final RolloutService mRollouts;

    private RolloutCommands(Proposer proposer, RolloutService rollouts) {
        mProposer = proposer;
        mRollouts = rollouts;
    }

    /**
     * Creates the commands.
     *
     * @param proposer proposes commands to the replicated log
     * @param rollouts source of the roll-outs to list
     * @return the commands
     */
    public static RolloutCommands create(Proposer proposer, RolloutService rollouts) {
        return new RolloutCommands(proposer, rollouts);
    }

    void start(HttpCall call, Responder responder) {
        propose(parse(call), responder);
    }

    private static RolloutCommand.Start parse(HttpCall call) {
        byte[] body = call.body();
        try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(body)) {
            return read(call, JSON.readTree(body));
        } catch (IOException e) {
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, "the body is not JSON", e);
        }
    }

    private static RolloutCommand.Start read(HttpCall call, JsonNode body) {
        long deadlineMillis = body.path("deadline_ms").asLong();
        if (deadlineMillis <= 0) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "deadline_ms must be a number of milliseconds above 0");
        }
        String model = body.path("model").asText();
        return new RolloutCommand.Start(
                requestId(call),
                author(call),
                ServiceId.of(body.path("service").asText()),
                ModelVersion.of(model, body.path("from").asText()),
                ModelVersion.of(model, body.path("to").asText()),
                System.currentTimeMillis() + deadlineMillis,
                body.path("first_share").asDouble(DEFAULT_FIRST_SHARE),
                body.path("complete_unjudged").asBoolean());
    }

    private static String requestId(HttpCall call) {
        String id = call.header("X-Request-Id");
        return id == null || id.isEmpty() ? UUID.randomUUID().toString() : id;
    }

    private static String author(HttpCall call) {
        String author = call.header("X-Author");
        return author == null ? "operator" : author;
    }

    void stop(String[] segments, HttpCall call, Responder responder) {
        String reason = call.queryParameter("reason");
        propose(
                new RolloutCommand.Stop(
                        requestId(call),
                        author(call),
                        ServiceId.of(segments[1]),
                        segments[2],
                        reason == null ? "" : reason),
                responder);
    }

    private void propose(RolloutCommand command, Responder responder) {
        mProposer
                .propose(
                        StateMachineId.ROLLOUT.encodeCommand(command.encode()),
                        PROPOSE_TIMEOUT_MILLIS)
                .thenAccept(outcome -> sendOutcome(outcome, responder));
    }

    private static void sendOutcome(ProposalOutcome outcome, Responder responder) {
        byte[] bytes = outcome.result();
        if (bytes == null) {
            responder.sendError(
                    ErrorKind.NO_QUORUM,
                    RunState.UNKNOWN,
                    "the command was not committed in time; resend it with the same X-Request-Id",
                    1_000);
            return;
        }
        RolloutResult result = RolloutResult.decode(bytes);
        if (!result.outcome().isAccepted()) {
            responder.sendError(
                    result.outcome().errorKind(),
                    RunState.NOT_RUN,
                    result.outcome() + ": " + result.message(),
                    0);
            return;
        }
        responder.sendJson(STATUS_OK, "{\"rollout\":" + result.number() + "}");
    }

    void sendStatus(Responder responder) {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode rows = json.putArray("rollouts");
        for (Rollout rollout : mRollouts.knownRollouts()) {
            ObjectNode row = rows.addObject();
            row.put("id", rollout.id());
            row.put("service", rollout.service().value());
            row.put("model", rollout.to().model());
            row.put("from", rollout.from().version());
            row.put("to", rollout.to().version());
            row.put("status", rollout.status().name());
            row.put("share", rollout.share());
            row.put("deadline_ms", rollout.deadlineMillis());
            row.put("reason", rollout.reason().name());
            row.put("detail", rollout.detail());
        }
        responder.sendJsonDocument(STATUS_OK, json.toString());
    }
}
