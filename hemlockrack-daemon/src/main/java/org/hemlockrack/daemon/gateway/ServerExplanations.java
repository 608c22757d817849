package org.hemlockrack.daemon.gateway;

import com.fasterxml.jackson.databind.node.ArrayNode;
import com.fasterxml.jackson.databind.node.ObjectNode;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.dispatch.ChoiceExplanation;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.dispatch.ServerCost;
import org.hemlockrack.registry.Registration;

/** Writes explanations of the choice of a server as JSON. */
final class ServerExplanations {
    private ServerExplanations() {}

    /** Adds the chosen server, the reason and the cost terms. */
    static void putChoice(ObjectNode json, ChoiceExplanation explanation) {
        ServerChoice choice = explanation.choice();
        json.put("reason", choice.reason().name());
        json.put("random", explanation.random());
        json.put("candidates", choice.candidates());
        putServer(json.putObject("server"), choice.server());
    }

    /** Adds all servers of the service, and the rollout that decides between their versions. */
    static void putServers(ObjectNode json, ChoiceExplanation explanation) {
        TrafficMove move = explanation.move();
        if (move != null) {
            ObjectNode rollout = json.putObject("rollout");
            rollout.put("target", move.target());
            rollout.put("status", move.status().name());
            rollout.put("share_per_mille", move.sharePerMille());
        }
        ArrayNode servers = json.putArray("servers");
        for (ChoiceExplanation.Server each : explanation.servers()) {
            ObjectNode server = servers.addObject();
            putServer(server, each.registration());
            server.put("load", each.load());
            server.put("max_requests", each.maxRequests());
            server.put("cold", each.cold());
            server.put("excluded", each.exclusion() == null ? "" : each.exclusion().name());
            if (each.cost() != null) {
                putCost(server, each.cost());
            }
        }
    }

    private static void putServer(ObjectNode json, Registration server) {
        json.put("id", server.id().value());
        json.put("zone", server.zone().value());
        json.put("address", server.address());
        json.put("version", server.softwareVersion());
    }

    private static void putCost(ObjectNode json, ServerCost cost) {
        ExchangeLog.putCost(json::put, cost);
        json.put("cost_tie_pct", ExchangeLog.percent(cost.tie()));
    }
}
