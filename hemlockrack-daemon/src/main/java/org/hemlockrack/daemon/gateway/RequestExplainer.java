package org.hemlockrack.daemon.gateway;

import com.fasterxml.jackson.databind.node.JsonNodeFactory;
import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import java.util.function.LongPredicate;
import java.util.function.Supplier;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.dispatch.ChoiceExplanation;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.quarantine.PromptParts;
import org.hemlockrack.quarantine.Verdict;
import org.hemlockrack.routing.Route;
import org.hemlockrack.routing.RouteTable;

/**
 * Says where this gateway would send a request now. Follows the steps of {@link GatewayHandler} and
 * of the first attempt of {@link GatewayExchange}, and sends, counts, logs and changes nothing.
 */
final class RequestExplainer {
    private static final byte[] NO_BODY = {};

    private final GatewayContext mContext;
    private final Supplier<TableStanding> mStanding;
    private final LongPredicate mIsNewestTable;

    private RequestExplainer(
            GatewayContext context, Supplier<TableStanding> standing, LongPredicate isNewestTable) {
        mContext = context;
        mStanding = standing;
        mIsNewestTable = isNewestTable;
    }

    /**
     * Creates the explainer.
     *
     * @param context services and state of the gateway
     * @param standing the route table in force
     * @param isNewestTable whether the table of a version may be taken for the newest one
     */
    static RequestExplainer create(
            GatewayContext context, Supplier<TableStanding> standing, LongPredicate isNewestTable) {
        return new RequestExplainer(context, standing, isNewestTable);
    }

    /**
     * Explains a request.
     *
     * @param path its path, without a query
     * @param metadata its metadata
     * @throws HemlockrackException with {@link ErrorKind#NOT_READY} if no route table is known
     */
    ObjectNode explain(String path, RequestMetadata metadata) {
        TableStanding standing = mStanding.get();
        RouteTable table = standing.table();
        if (table == null) {
            throw HemlockrackException.of(ErrorKind.NOT_READY, "no route table is known yet");
        }
        ObjectNode json = JsonNodeFactory.instance.objectNode();
        json.put("table", table.version());
        HttpCall call = new HttpCall("POST", path, null, List.of(), NO_BODY);
        Routing routing;
        try {
            routing = Routing.ofTrusted(standing, call, metadata);
        } catch (HemlockrackException e) {
            ErrorKind kind = Routing.refusalKind(mIsNewestTable.test(table.version()), e);
            return refused(json, kind, String.valueOf(e.getMessage()));
        }
        return explain(json, routing, metadata);
    }

    private ObjectNode explain(ObjectNode json, Routing routing, RequestMetadata metadata) {
        Route route = routing.route();
        ServiceId service = Routing.serviceOf(route, metadata);
        String workspace =
                routing.workspace() == null ? "" : routing.workspace().workspace().value();
        int rank = Routing.rankOf(route, routing.workspace());
        json.put("route", route.name());
        json.put("workspace", workspace);
        json.put("rank", rank);
        json.put("service", service.value());
        long nowNanos = System.nanoTime();
        ChoiceExplanation explanation =
                new ServerSelection(mContext, route, service, metadata).explain(nowNanos);
        ServerExplanations.putServers(json, explanation);
        if (!TimeLimits.of(mContext, route, metadata, nowNanos).canCompleteBeforeStop(nowNanos)) {
            return refused(json, ErrorKind.NOT_READY, ErrorText.INSTANCE_STOPS);
        }
        List<String> parts = PromptParts.of(metadata.promptPartIds()).all();
        Verdict verdict = mContext.quarantine().inForce(nowNanos, parts);
        if (verdict != null) {
            return refused(
                    json,
                    ErrorKind.PROMPT_HELD,
                    String.format(ErrorText.PART_HELD, verdict.part()));
        }
        ServerChoice choice = explanation.choice();
        if (explanation.managed()) {
            WaitReport.Cause cause = mContext.queues().waitCause(service, rank, workspace);
            if (cause == null && choice.reason() == ServerChoice.Reason.ALL_FULL) {
                cause = WaitReport.Cause.NO_FREE_SLOT;
            }
            if (cause != null) {
                json.put("outcome", "waits");
                json.put("wait_cause", cause.name());
                return json;
            }
        }
        if (choice.server() == null) {
            return refused(json, ServerSelection.refusalKind(choice), choice.reason().name());
        }
        json.put("outcome", "to_server");
        ServerExplanations.putChoice(json, explanation);
        return json;
    }

    private static ObjectNode refused(ObjectNode json, ErrorKind kind, String cause) {
        json.put("outcome", "refused");
        ObjectNode refusal = json.putObject("refusal");
        refusal.put("kind", kind.name());
        refusal.put("status", kind.httpStatus());
        refusal.put("cause", cause);
        return json;
    }
}
