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
    private static final double PERCENT = 100;

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

    /** The names and the unit are those of the log. */
    private static void putCost(ObjectNode json, ServerCost cost) {
        json.put("cost_load_pct", percent(cost.load()));
        json.put("cost_work_pct", percent(cost.work()));
        json.put("cost_prefix_pct", percent(cost.prefix()));
        json.put("cost_zone_pct", percent(cost.zone()));
        json.put("cost_tie_pct", percent(cost.tie()));
    }

    private static long percent(double term) {
        return Math.round(PERCENT * term);
    }
}
