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

/** Answers operators. */
public final class OperatorPort implements CallHandler {
    static final String PREFIX = "/operator/v1/";

    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final Proposer mProposer;
    private final ConfigCommands mCommands;
    private final VoterCommands mVoters;
    private final RolloutCommands mRollouts;
    private final BurnService mBurn;
    private final HealthEndpoints mEndpoints;

    private OperatorPort(
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigCommands commands,
            VoterCommands voters,
            RolloutCommands rollouts,
            BurnService burn,
            HealthEndpoints endpoints) {
        mFleet = fleet;
        mConfig = config;
        mProposer = proposer;
        mCommands = commands;
        mVoters = voters;
        mRollouts = rollouts;
        mBurn = burn;
        mEndpoints = endpoints;
    }

    /**
     * Creates the handler.
     *
     * @param fleet the fleet
     * @param config the configuration in force
     * @param proposer brings commands to the log
     * @param commands configuration commands
     * @param voters commands on the voters
     * @param rollouts roll-out commands
     * @param burn the burn report
     * @param endpoints health endpoints, served here too
     * @return the handler
     */
    public static OperatorPort create(
            FleetMembership fleet,
            ConfigService config,
            Proposer proposer,
            ConfigCommands commands,
            VoterCommands voters,
            RolloutCommands rollouts,
            BurnService burn,
            HealthEndpoints endpoints) {
        return new OperatorPort(
                fleet, config, proposer, commands, voters, rollouts, burn, endpoints);
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
        String[] parts = path.split("/");
        switch (call.method() + " " + parts[0]) {
            case "GET config" -> getConfig(parts, call, responder);
            case "PATCH config" -> mCommands.patch(call, responder);
            case "GET status" -> responder.sendJson(200, status().toString());
            case "GET instances" -> responder.sendJson(200, instances().toString());
            case "GET backends" -> responder.sendJson(200, backends().toString());
            case "POST zones" -> mCommands.zone(requireParts(parts, 3, call), responder);
            case "POST instances" -> mCommands.drain(requireParts(parts, 3, call), responder);
            case "GET voters" -> mVoters.handle(requireParts(parts, 1, call), call, responder);
            case "POST voters" -> mVoters.handle(requireParts(parts, 3, call), call, responder);
            case "GET rollouts" -> mRollouts.status(responder);
            case "POST rollouts" -> mRollouts.start(call, responder);
            case "DELETE rollouts" -> mRollouts.stop(requireParts(parts, 3, call), call, responder);
            case "GET burn" -> mBurn.report(call, responder);
            default -> throw notFound(call);
        }
    }

    private static String[] requireParts(String[] parts, int count, HttpCall call) {
        if (parts.length != count) {
            throw notFound(call);
        }
        return parts;
    }

    private static HemlockrackException notFound(HttpCall call) {
        return HemlockrackException.of(
                ErrorKind.NOT_FOUND, "no such page: " + call.method() + " " + call.path());
    }

    private void getConfig(String[] parts, HttpCall call, Responder responder) {
        if (parts.length == 1) {
            if (!mConfig.known()) {
                throw HemlockrackException.of(
                        ErrorKind.NOT_READY, "this instance does not know the configuration yet");
            }
            ConfigService.Current current = mConfig.current();
            boolean json = String.valueOf(call.header("Accept")).contains("json");
            String text =
                    json ? current.configuration().toJson() : current.configuration().toToml();
            responder.send(
                    200,
                    List.of(
                            HeaderField.of("ETag", "\"" + current.version() + "\""),
                            HeaderField.of(
                                    "Content-Type",
                                    json ? "application/json" : "application/toml")),
                    text.getBytes(StandardCharsets.UTF_8));
            return;
        }
        switch (parts[1]) {
            case "history" -> mCommands.history(call, responder);
            case "wait" -> mCommands.await(call, responder);
            default -> throw notFound(call);
        }
    }

    private ObjectNode status() {
        MembershipView view = mFleet.view();
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("instance", mFleet.selfId().value());
        json.put("zone", mFleet.selfInfo().zone().value());
        json.put("ready", mEndpoints.ready());
        json.put("config_version", mConfig.current().version());
        json.put("config_version_known", view.configVersion());
        json.put("leader", mProposer.leader() == null ? "" : mProposer.leader().value());
        json.put("voter", mProposer.isVoter());
        json.put("instances", view.members().size());
        json.put("backends", view.backends().size());
        json.put("isolated", view.isolated());
        ArrayNode cut = json.putArray("zones_cut");
        view.unreachableZones().forEach(zone -> cut.add(zone.value()));
        return json;
    }

    private ObjectNode instances() {
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

    private ObjectNode backends() {
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
