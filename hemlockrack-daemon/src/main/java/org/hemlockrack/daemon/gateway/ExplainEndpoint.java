package org.hemlockrack.daemon.gateway;

import com.fasterxml.jackson.databind.DeserializationFeature;
import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Set;
import org.hemlockrack.daemon.http.CallHandler;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.settings.SettingKey;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.jspecify.annotations.Nullable;

/**
 * Answers {@code POST /explain} with where a request would go now. Error messages repeat nothing of
 * the body, as it contains a key.
 */
final class ExplainEndpoint implements CallHandler {
    private static final String PATH = "/explain";

    /** The request states no timeout; that of its route applies. */
    private static final long TIMEOUT_NOT_STATED = -1;

    private static final Set<String> FIELDS =
            Set.of("host", "path", "key", "prompt_part_ids", "attempt_id");

    private static final ObjectMapper MAPPER =
            new ObjectMapper().enable(DeserializationFeature.FAIL_ON_TRAILING_TOKENS);

    private final RequestExplainer mExplainer;
    private final CallHandler mOthers;

    private ExplainEndpoint(RequestExplainer explainer, CallHandler others) {
        mExplainer = explainer;
        mOthers = others;
    }

    /**
     * Returns a handler with this endpoint if the settings turn it on.
     *
     * @param settings checked settings
     * @param explainer explains requests
     * @param others handles the requests for other paths, and all of them if it is off
     */
    static CallHandler wrap(Settings settings, RequestExplainer explainer, CallHandler others) {
        boolean isOn = settings.text(SettingKey.OPERATORS_EXPLAIN).equals("true");
        return isOn ? new ExplainEndpoint(explainer, others) : others;
    }

    @Override
    public void handle(HttpCall call, Responder responder) {
        if (!call.path().equals(PATH)) {
            mOthers.handle(call, responder);
            return;
        }
        try {
            if (!call.method().equals("POST")) {
                throw HemlockrackException.of(
                        ErrorKind.METHOD_NOT_ALLOWED, PATH + " takes the method POST");
            }
            byte[] text = call.body();
            try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(text)) {
                JsonNode body = parse(text);
                responder.sendJson(
                        200, mExplainer.explain(readPath(body), readMetadata(body)).toString());
            }
        } catch (HemlockrackException e) {
            responder.sendError(e.kind(), String.valueOf(e.getMessage()), 0);
        }
    }

    private static JsonNode parse(byte[] body) {
        JsonNode json;
        try {
            json = MAPPER.readTree(body);
        } catch (IOException e) {
            // Without the cause, whose message contains a part of the body.
            throw badRequest("the body is not valid JSON");
        }
        if (!json.isObject()) {
            throw badRequest("the body is not a JSON object");
        }
        for (Iterator<String> names = json.fieldNames(); names.hasNext(); ) {
            if (!FIELDS.contains(names.next())) {
                throw badRequest(
                        "the body has an unknown field; allowed: host, path, key,"
                                + " prompt_part_ids, attempt_id");
            }
        }
        return json;
    }

    private static String readPath(JsonNode body) {
        String path = readText(body, "path");
        if (path == null || !path.startsWith("/") || path.contains("?")) {
            throw badRequest("path is missing or malformed; allowed: a path without a query");
        }
        return path;
    }

    private static RequestMetadata readMetadata(JsonNode body) {
        String host = readText(body, "host");
        if (host == null || host.isEmpty() || host.contains(":")) {
            throw badRequest("host is missing or malformed; allowed: a host without a port");
        }
        String attemptId = readText(body, "attempt_id");
        return new RequestMetadata(
                attemptId == null ? "" : attemptId,
                host,
                TIMEOUT_NOT_STATED,
                readText(body, "key"),
                readPartIds(body));
    }

    private static List<String> readPartIds(JsonNode body) {
        JsonNode array = body.path("prompt_part_ids");
        if (array.isMissingNode()) {
            return List.of();
        }
        List<String> ids = new ArrayList<>();
        for (JsonNode each : array) {
            if (each.isTextual()) {
                ids.add(each.asText());
            }
        }
        if (!array.isArray() || ids.size() != array.size()) {
            throw badRequest("prompt_part_ids is malformed; allowed: an array of strings");
        }
        return ids;
    }

    private static @Nullable String readText(JsonNode body, String name) {
        JsonNode value = body.path(name);
        if (value.isMissingNode()) {
            return null;
        }
        if (!value.isTextual()) {
            throw badRequest(name + " is malformed; allowed: a string");
        }
        return value.asText();
    }

    private static HemlockrackException badRequest(String message) {
        return HemlockrackException.of(ErrorKind.BAD_REQUEST, message);
    }
}
