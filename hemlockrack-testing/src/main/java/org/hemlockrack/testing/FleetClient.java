package org.hemlockrack.testing;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.security.SecureRandom;
import java.time.Duration;
import java.util.Map;
import org.hemlockrack.config.BearerKey;

/** HTTP client of a test fleet, for callers and operators. Thread-safe. */
public final class FleetClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DEFAULT_DEADLINE_MILLIS = 15_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .connectTimeout(Duration.ofSeconds(2))
                    .version(HttpClient.Version.HTTP_1_1)
                    .build();
    private final BearerKey mBearerKey = BearerKey.create("demo", new SecureRandom());

    private FleetClient() {}

    /** Creates a client with a newly generated bearer key. */
    public static FleetClient create() {
        return new FleetClient();
    }

    /**
     * An HTTP response.
     *
     * @param status HTTP status code
     * @param response the response object, for its header fields
     * @param body the whole body
     */
    public record Answer(int status, HttpResponse<String> response, String body) {
        /**
         * Returns a header field.
         *
         * @param name name of the field, in any case
         * @return its first value, or an empty string if there is none
         */
        public String header(String name) {
            return response.headers().firstValue(name).orElse("");
        }

        /** Returns the body parsed as JSON. */
        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Returns the {@code error.ran} field of an error answer, empty if there is none. */
        public String runState() {
            return status < 400 ? "" : json().path("error").path("ran").asText();
        }
    }

    /**
     * Sends a request.
     *
     * @param address {@code ip:port}
     * @param method HTTP method
     * @param path path with an optional query
     * @param headers header fields by name
     * @param body request body, may be empty
     * @return the answer
     * @throws UncheckedIOException if no complete answer arrives within 20 s
     */
    public Answer send(
            String address, String method, String path, Map<String, String> headers, String body) {
        HttpRequest.Builder request =
                HttpRequest.newBuilder(URI.create("http://" + address + path))
                        .timeout(TIMEOUT)
                        .method(method, HttpRequest.BodyPublishers.ofString(body));
        headers.forEach(request::header);
        try {
            HttpResponse<String> response =
                    mClient.send(request.build(), HttpResponse.BodyHandlers.ofString());
            return new Answer(response.statusCode(), response, response.body());
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
            throw new IllegalStateException(e);
        }
    }

    /** Returns this client's bearer key as sent in the {@code Authorization} header. */
    public String bearerKey() {
        return mBearerKey.text();
    }

    /**
     * Returns a configuration with the model service {@code assistant}, the plain service {@code
     * bookings} and the workspace {@code demo}, which accepts this client's bearer key.
     *
     * @return the configuration as a TOML document
     */
    public String initialConfiguration() {
        BearerKey.SaltedHash saltedHash = mBearerKey.createSaltedHash(new SecureRandom());
        return String.format(
                """
                [services.assistant]
                kind = "model"
                models = ["assistant"]
                cold_start_limit = 8
                [services.bookings]
                kind = "plain"
                cold_start_limit = 8
                [[services.bookings.routes]]
                method = "POST"
                prefix = "/"
                idempotent = false
                [workspaces.demo]
                services = ["assistant", "bookings"]
                max_concurrent_requests = 10000
                requests_per_second = 100000
                [workspaces.demo.promise]
                first_token_ms = 5000
                [workspaces.demo.keys.demo]
                salt = "%s"
                hash = "%s"
                """,
                saltedHash.saltHex(), saltedHash.hashHex());
    }

    /**
     * Sends a configuration patch.
     *
     * @param operatorAddress operator address of an instance
     * @param baseVersion configuration version that the patch applies to
     * @param requestId id that makes a repeat of the patch idempotent
     * @param toml TOML patch
     * @return the answer
     */
    public Answer patchConfiguration(
            String operatorAddress, long baseVersion, String requestId, String toml) {
        return send(
                operatorAddress,
                "PATCH",
                "/operator/v1/config",
                Map.of("If-Match", "\"" + baseVersion + "\"", "X-Request-Id", requestId),
                toml);
    }

    /**
     * Reads a resource of the operator API.
     *
     * @param operatorAddress operator address of an instance
     * @param page path below {@code /operator/v1/}
     * @return the JSON document
     */
    public JsonNode fetchPage(String operatorAddress, String page) {
        return send(operatorAddress, "GET", "/operator/v1/" + page, Map.of(), "").json();
    }

    /**
     * Sends a streamed chat request with a deadline of 15 s for an answer of 8 tokens.
     *
     * @param callerAddress caller address of an instance
     * @param chat chat id
     * @return the answer with all events
     */
    public Answer sendChat(String callerAddress, String chat) {
        return sendChat(callerAddress, chat, DEFAULT_DEADLINE_MILLIS, 8);
    }

    /**
     * Sends a streamed chat request.
     *
     * @param callerAddress caller address of an instance
     * @param chat chat id
     * @param deadlineMillis deadline of the request, relative to now
     * @param tokens number of tokens of the answer
     * @return the answer with all events
     */
    public Answer sendChat(String callerAddress, String chat, long deadlineMillis, int tokens) {
        return send(
                callerAddress,
                "POST",
                "/v1/chat/completions",
                Map.of(
                        "Authorization",
                        "Bearer " + bearerKey(),
                        "X-Chat-Id",
                        chat,
                        "X-Deadline-Ms",
                        Long.toString(deadlineMillis)),
                "{\"model\":\"assistant\",\"stream\":true,\"max_tokens\":"
                        + tokens
                        + ",\"messages\":"
                        + "[{\"role\":\"user\",\"content\":\"hello\"}]}");
    }

    /**
     * Sends a non-idempotent command to the bookings service with a deadline of 15 s.
     *
     * @param callerAddress caller address of an instance
     * @param key idempotency key
     * @param body request body
     * @return the answer
     */
    public Answer sendBooking(String callerAddress, String key, String body) {
        return sendBooking(callerAddress, key, body, DEFAULT_DEADLINE_MILLIS);
    }

    /**
     * Sends a non-idempotent command to the bookings service.
     *
     * @param callerAddress caller address of an instance
     * @param key idempotency key
     * @param body request body
     * @param deadlineMillis deadline of the request, relative to now
     * @return the answer
     */
    public Answer sendBooking(String callerAddress, String key, String body, long deadlineMillis) {
        return send(
                callerAddress,
                "POST",
                "/v1/services/bookings/cylinders",
                Map.of(
                        "Authorization",
                        "Bearer " + bearerKey(),
                        "Idempotency-Key",
                        key,
                        "X-Deadline-Ms",
                        Long.toString(deadlineMillis)),
                body);
    }
}
