package org.hemlockrack.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.config.ServiceConfig;
import org.hemlockrack.config.ServiceKind;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.owner.ForwardingMetadata;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.placement.PlacementKey;
import org.jspecify.annotations.Nullable;

/** Authenticates and classifies callers' requests. Safe for use from any thread. */
final class RequestReader {
    static final String CHAT_PATH = "/v1/chat/completions";
    static final String SERVICE_PREFIX = "/v1/services/";
    private static final String BEARER = "Bearer ";
    private static final int MAX_IDEMPOTENCY_KEY_CHARS = 256;
    private static final ObjectMapper JSON = new ObjectMapper();

    private final String mIdPrefix;
    private final AtomicLong mNextId = new AtomicLong();

    RequestReader(String idPrefix) {
        mIdPrefix = idPrefix;
    }

    /**
     * Authenticates and classifies a request.
     *
     * @throws HemlockrackException with the kind of the refusal
     */
    CallerRequest read(long nowNanos, Configuration configuration, HttpCall call) {
        WorkspaceId workspace = authenticate(configuration, call);
        WorkspaceConfig config = configuration.workspaces().get(workspace);
        if (call.path().equals(CHAT_PATH)) {
            return readChat(nowNanos, configuration, workspace, config, call);
        }
        if (call.path().startsWith(SERVICE_PREFIX)) {
            return readPlainService(nowNanos, configuration, workspace, config, call);
        }
        throw HemlockrackException.of(ErrorKind.NOT_FOUND, "no such path: \"" + call.path() + "\"");
    }

    private static WorkspaceId authenticate(Configuration configuration, HttpCall call) {
        String value = call.header("Authorization");
        if (value == null || !value.startsWith(BEARER)) {
            throw HemlockrackException.of(
                    ErrorKind.UNAUTHENTICATED,
                    "the Authorization header with a bearer key is missing");
        }
        return configuration
                .authenticate(value.substring(BEARER.length()))
                .orElseThrow(
                        () ->
                                HemlockrackException.of(
                                        ErrorKind.UNAUTHENTICATED, ErrorText.UNKNOWN_KEY));
    }

    private CallerRequest readChat(
            long nowNanos,
            Configuration configuration,
            WorkspaceId workspace,
            WorkspaceConfig config,
            HttpCall call) {
        if (!call.method().equals("POST")) {
            throw HemlockrackException.of(
                    ErrorKind.METHOD_NOT_ALLOWED, CHAT_PATH + " allows POST only");
        }
        byte[] text = call.body();
        try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(text)) {
            return readChat(nowNanos, configuration, workspace, config, call, parseChatBody(text));
        }
    }

    private CallerRequest readChat(
            long nowNanos,
            Configuration configuration,
            WorkspaceId workspace,
            WorkspaceConfig config,
            HttpCall call,
            JsonNode body) {
        String model = body.path("model").asText();
        ServiceId service = serviceOfModel(configuration, config, model);
        return createRequest(
                nowNanos,
                call,
                workspace,
                config,
                service,
                model,
                RequestKind.CHAT,
                chatKey(workspace, model, call, body),
                isFirstTurn(body));
    }

    private static JsonNode parseChatBody(byte[] body) {
        try {
            JsonNode json = JSON.readTree(body);
            if (json.path("messages").isArray() && json.path("model").isTextual()) {
                return json;
            }
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "the request body is not JSON: " + e.getMessage(), e);
        }
        throw HemlockrackException.of(
                ErrorKind.BAD_REQUEST,
                "the request body needs the text \"model\" and the array \"messages\"");
    }

    private static ServiceId serviceOfModel(
            Configuration configuration, WorkspaceConfig config, String model) {
        boolean modelExists = false;
        for (Map.Entry<ServiceId, ServiceConfig> entry : configuration.services().entrySet()) {
            if (!entry.getValue().models().contains(model)) {
                continue;
            }
            modelExists = true;
            if (config.services().contains(entry.getKey())) {
                return entry.getKey();
            }
        }
        if (modelExists) {
            throw HemlockrackException.of(
                    ErrorKind.FORBIDDEN, "the workspace may not use model \"" + model + "\"");
        }
        throw HemlockrackException.of(
                ErrorKind.NOT_FOUND, "no service has model \"" + model + "\"");
    }

    private static PlacementKey chatKey(
            WorkspaceId workspace, String model, HttpCall call, JsonNode body) {
        String chat = call.header("X-Chat-Id");
        if (chat != null) {
            return PlacementKey.ofChat(workspace, chat);
        }
        String user = body.path("user").asText();
        String system = firstContent(body, "system");
        String first = firstContent(body, "user");
        return PlacementKey.ofPrompt(workspace, model, user + "\n" + system, first);
    }

    /** Returns whether no model has answered in this chat yet. */
    private static boolean isFirstTurn(JsonNode body) {
        for (JsonNode message : body.path("messages")) {
            if (message.path("role").asText().equals("assistant")) {
                return false;
            }
        }
        return true;
    }

    private static String firstContent(JsonNode body, String role) {
        for (JsonNode message : body.path("messages")) {
            if (message.path("role").asText().equals(role)) {
                JsonNode content = message.path("content");
                return content.isTextual() ? content.textValue() : content.toString();
            }
        }
        return "";
    }

    private CallerRequest readPlainService(
            long nowNanos,
            Configuration configuration,
            WorkspaceId workspace,
            WorkspaceConfig config,
            HttpCall call) {
        String rest = call.path().substring(SERVICE_PREFIX.length());
        int slash = rest.indexOf('/');
        String name = slash < 0 ? rest : rest.substring(0, slash);
        String path = slash < 0 ? "/" : rest.substring(slash);
        ServiceId service = ServiceId.of(name.isEmpty() ? "?" : name);
        ServiceConfig serviceConfig = configuration.services().get(service);
        if (serviceConfig == null || serviceConfig.kind() != ServiceKind.PLAIN) {
            throw HemlockrackException.of(
                    ErrorKind.NOT_FOUND, "no plain service \"" + name + "\" is configured");
        }
        if (!config.services().contains(service)) {
            throw HemlockrackException.of(
                    ErrorKind.FORBIDDEN, "the workspace may not use service \"" + name + "\"");
        }
        HttpCall serviceCall =
                new HttpCall(call.method(), path, call.query(), call.headers(), call.body());
        return createRequest(
                nowNanos,
                serviceCall,
                workspace,
                config,
                service,
                name,
                serviceConfig.requestKind(call.method(), path),
                PlacementKey.ofChat(workspace, path),
                false);
    }

    private CallerRequest createRequest(
            long nowNanos,
            HttpCall call,
            WorkspaceId workspace,
            WorkspaceConfig config,
            ServiceId service,
            String model,
            RequestKind kind,
            PlacementKey key,
            boolean firstTurn) {
        long statedMillis = deadlineMillis(call);
        long firstByteMillis =
                statedMillis > 0 ? statedMillis : config.latencyObjective().firstTokenMillis();
        long wholeAnswerMillis =
                statedMillis > 0 ? statedMillis : config.latencyObjective().wholeAnswerMillis();
        return new CallerRequest(
                mIdPrefix + mNextId.incrementAndGet(),
                toForwardedCall(call, key),
                workspace,
                config,
                service,
                model,
                kind,
                key,
                firstTurn,
                idempotencyKey(call),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(firstByteMillis),
                nowNanos + TimeUnit.MILLISECONDS.toNanos(wholeAnswerMillis));
    }

    /**
     * Removes header fields that must not reach a backend server, which are the bearer key and
     * internal fields, and adds the placement key.
     */
    private static HttpCall toForwardedCall(HttpCall call, PlacementKey key) {
        List<HeaderField> forwarded = new ArrayList<>();
        for (HeaderField field : call.headers()) {
            boolean dropped =
                    ForwardingMetadata.isInternal(field)
                            || field.hasName("Authorization")
                            || field.hasName(ForwardingMetadata.PLACEMENT_KEY)
                            || field.hasName(ForwardingMetadata.MODEL_VERSION)
                            || field.hasName(ForwardingMetadata.REQUEST_ID);
            if (!dropped) {
                forwarded.add(field);
            }
        }
        forwarded.add(
                HeaderField.of(ForwardingMetadata.PLACEMENT_KEY, Long.toHexString(key.hash())));
        return new HttpCall(call.method(), call.path(), call.query(), forwarded, call.body());
    }

    private static long deadlineMillis(HttpCall call) {
        String value = call.header("X-Deadline-Ms");
        if (value == null) {
            return 0;
        }
        if (!value.matches("[0-9]{1,9}") || Long.parseLong(value) == 0) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    "X-Deadline-Ms is \"" + value + "\"; allowed: 1 to 999999999");
        }
        return Long.parseLong(value);
    }

    private static @Nullable String idempotencyKey(HttpCall call) {
        String key = call.header("Idempotency-Key");
        if (key != null && (key.isEmpty() || key.length() > MAX_IDEMPOTENCY_KEY_CHARS)) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    "Idempotency-Key has " + key.length() + " characters; allowed: 1 to 256");
        }
        return key;
    }
}
