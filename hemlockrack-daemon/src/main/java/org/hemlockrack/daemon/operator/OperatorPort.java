package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hemlockrack.daemon.burn.BurnService;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.replica.Proposer;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipView;

/** Routes requests on the operator port to their handlers, and lists the fleet's state. */
public final class OperatorPort implements CallHandler {
    static final String PREFIX = "/operator/v1/";

    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final Proposer mProposer;
    private final ConfigCommands mConfigCommands;
    private final VoterCommands mVoterCommands;
    private final RolloutCommands mRolloutCommands;
    private final BurnService mBurn;
    private final HealthEndpoints mEndpoints;

    private OperatorPort(
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigCommands configCommands,
            VoterCommands voterCommands,
            RolloutCommands rolloutCommands,
            BurnService burn,
            HealthEndpoints endpoints) {
        mFleet = fleet;
        mConfig = config;
        mProposer = proposer;
        mConfigCommands = configCommands;
        mVoterCommands = voterCommands;
        mRolloutCommands = rolloutCommands;
        mBurn = burn;
        mEndpoints = endpoints;
    }

    /**
     * Creates the handler.
     *
     * @param fleet the fleet
     * @param config the configuration in force
     * @param proposer source of the current leader
     * @param configCommands configuration commands
     * @param voterCommands voter commands
     * @param rolloutCommands roll-out commands
     * @param burn source of the error budget burn report
     * @param endpoints health endpoints, which this port serves too
     * @return the handler
     */
    public static OperatorPort create(
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigCommands configCommands,
            VoterCommands voterCommands,
            RolloutCommands rolloutCommands,
            BurnService burn,
            HealthEndpoints endpoints) {
        return new OperatorPort(
                fleet,
                config,
                proposer,
                configCommands,
                voterCommands,
                rolloutCommands,
                burn,
                endpoints);
    }

    @Override
    public void handle(HttpCall call, Responder responder) {
        if (mEndpoints.handles(call.path())) {
            mEndpoints.handle(call, responder);
            return;
        }
        try {
            route(call, responder);
        } catch (HemlockrackException e) {
            responder.sendError(e.kind(), String.valueOf(e.getMessage()), 0);
        }
    }

    private void route(HttpCall call, Responder responder) {
        if (!call.path().startsWith(PREFIX)) {
            throw notFound(call);
        }
        String path = call.path().substring(PREFIX.length());
        String[] segments = path.split("/");
        switch (call.method() + " " + segments[0]) {
            case "GET config" -> getConfig(segments, call, responder);
            case "PATCH config" -> mConfigCommands.patch(call, responder);
            case "GET status" -> responder.sendJson(200, statusJson().toString());
            case "GET instances" -> responder.sendJsonDocument(200, instancesJson().toString());
            case "GET backends" -> responder.sendJsonDocument(200, backendsJson().toString());
            case "POST zones" ->
                    mConfigCommands.setZoneState(requireSegments(segments, 3, call), responder);
            case "POST instances" ->
                    mConfigCommands.setDrain(requireSegments(segments, 3, call), responder);
            case "GET voters" ->
                    mVoterCommands.handle(requireSegments(segments, 1, call), call, responder);
            case "POST voters" ->
                    mVoterCommands.handle(requireSegments(segments, 3, call), call, responder);
            case "GET rollouts" -> mRolloutCommands.sendStatus(responder);
            case "POST rollouts" -> mRolloutCommands.start(call, responder);
            case "DELETE rollouts" ->
                    mRolloutCommands.stop(requireSegments(segments, 3, call), call, responder);
            case "GET burn" -> mBurn.report(call, responder);
            default -> throw notFound(call);
        }
    }

    private static String[] requireSegments(String[] segments, int count, HttpCall call) {
        if (segments.length != count) {
            throw notFound(call);
        }
        return segments;
    }

    private static HemlockrackException notFound(HttpCall call) {
        return HemlockrackException.of(
                ErrorKind.NOT_FOUND, "no such page: " + call.method() + " " + call.path());
    }

    private void getConfig(String[] segments, HttpCall call, Responder responder) {
        if (segments.length == 1) {
            if (!mConfig.isInitialized()) {
                throw HemlockrackException.of(
                        ErrorKind.NOT_READY,
                        "this instance has not received the configuration yet");
            }
            ConfigService.VersionedConfig current = mConfig.current();
            boolean json = String.valueOf(call.header("Accept")).contains("json");
            String text =
                    json ? current.configuration().toJson() : current.configuration().toToml();
            responder.sendDocument(
                    200,
                    List.of(
                            HeaderField.of("ETag", "\"" + current.version() + "\""),
                            HeaderField.of(
                                    "Content-Type",
                                    json ? "application/json" : "application/toml")),
                    text.getBytes(StandardCharsets.UTF_8));
            return;
        }
        switch (segments[1]) {
            case "history" -> mConfigCommands.sendHistory(call, responder);
            case "wait" -> mConfigCommands.awaitVersion(call, responder);
            default -> throw notFound(call);
        }
    }

    private ObjectNode statusJson() {
        MembershipView view = mFleet.view();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("instance", mFleet.selfId().value());
        json.put("zone", mFleet.selfInfo().zone().value());
        json.put("ready", mEndpoints.isReady());
        json.put("config_version", mConfig.current().version());
        json.put("config_version_known", view.configVersion());
        json.put("leader", mProposer.leader() == null ? "" : mProposer.leader().value());
        json.put("voter", mProposer.isVoter());
        json.put("instances", view.members().size());
        json.put("backends", view.backends().size());
        json.put("isolated", view.isolated());
        ArrayNode unreachableZones = json.putArray("zones_cut");
        view.unreachableZones().forEach(zone -> unreachableZones.add(zone.value()));
        return json;
    }

    private ObjectNode instancesJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode list = json.putArray("instances");
        for (Member member : mFleet.view().members().values()) {
            ObjectNode entry = list.addObject();
            entry.put("id", member.id().value());
            entry.put("zone", member.zone().value());
            entry.put("region", member.info().region());
            entry.put("status", member.status().name());
            entry.put("ready", member.ready());
            entry.put("draining", member.draining());
            entry.put("config_version", member.configVersion());
        }
        return json;
    }

    private ObjectNode backendsJson() {
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        ArrayNode list = json.putArray("backends");
        for (Backend backend : mFleet.view().backends().values()) {
            ObjectNode entry = list.addObject();
            entry.put("id", backend.id().value());
            entry.put("service", backend.service().value());
            entry.put("zone", backend.zone().value());
            entry.put("state", backend.state().name());
            entry.put("owner", backend.owner().value());
            entry.put("address", backend.address());
            entry.put("limit", backend.limit());
            ArrayNode models = entry.putArray("models");
            backend.models().forEach(model -> models.add(model.toString()));
        }
        return json;
    }
}
