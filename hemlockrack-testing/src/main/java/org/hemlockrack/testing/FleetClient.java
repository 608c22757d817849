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

/** A caller and operator of a test fleet. Safe for use from any thread. */
public final class FleetClient {
    private static final ObjectMapper JSON = new ObjectMapper();
    private static final long DEADLINE_MILLIS = 15_000;
    private static final Duration TIMEOUT = Duration.ofSeconds(20);

    private final HttpClient mClient =
            HttpClient.newBuilder()
                    .connectTimeout(Duration.ofSeconds(2))
                    .version(HttpClient.Version.HTTP_1_1)
                    .build();
    private final BearerKey mKey = BearerKey.create("demo", new SecureRandom());

    private FleetClient() {}

    /** Creates a client with a bearer key of its own. */
    public static FleetClient create() {
        return new FleetClient();
    }

    /**
     * An answer.
     *
     * @param status HTTP status
     * @param headers the answer itself, for its header fields
     * @param body the body
     */
    public record Answer(int status, HttpResponse<String> headers, String body) {
        /**
         * Returns a header field.
         *
         * @param name its name
         * @return the value, empty if there is none
         */
        public String header(String name) {
            return headers.headers().firstValue(name).orElse("");
        }

        /** Returns the body as JSON. */
        public JsonNode json() {
            try {
                return JSON.readTree(body);
            } catch (IOException e) {
                throw new UncheckedIOException(e);
            }
        }

        /** Returns the run state of a refusal, empty for other answers. */
        public String ran() {
            return status < 400 ? "" : json().path("error").path("ran").asText();
        }
    }

    /**
     * Sends a request.
     *
     * @param address {@code ip:port}
     * @param method the method
     * @param path the path
     * @param headers header fields
     * @param body the body, empty for none
     * @return the answer
     * @throws UncheckedIOException if there is no whole answer
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

    /** Returns the text of this client's bearer key. */
    public String bearer() {
        return mKey.text();
    }

    /**
     * Returns a configuration with the model service {@code assistant}, the plain service {@code
     * bookings} and the workspace {@code demo} of this client.
     *
     * @return the TOML document
     */
    public String initialConfiguration() {
        BearerKey.SaltedHash stored = mKey.createSaltedHash(new SecureRandom());
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
                stored.saltHex(), stored.hashHex());
    }

    /**
     * Patches the configuration.
     *
     * @param operators operator address of an instance
     * @param base base version
     * @param requestId request id
     * @param toml TOML patch
     * @return the answer
     */
    public Answer patchConfiguration(String operators, long base, String requestId, String toml) {
        return send(
                operators,
                "PATCH",
                "/operator/v1/config",
                Map.of("If-Match", "\"" + base + "\"", "X-Request-Id", requestId),
                toml);
    }

    /**
     * Reads an operator page.
     *
     * @param operators operator address of an instance
     * @param page path below {@code /operator/v1/}
     * @return the JSON
     */
    public JsonNode fetchPage(String operators, String page) {
        return send(operators, "GET", "/operator/v1/" + page, Map.of(), "").json();
    }

    /**
     * Sends a streamed chat request.
     *
     * @param callers caller address of an instance
     * @param chat chat id
     * @return the whole answer
     */
    public Answer sendChat(String callers, String chat) {
        return sendChat(callers, chat, DEADLINE_MILLIS, 8);
    }

    /**
     * Sends a streamed chat request.
     *
     * @param callers caller address of an instance
     * @param chat chat id
     * @param deadlineMillis how long the caller waits
     * @param tokens length of the answer
     * @return the whole answer
     */
    public Answer sendChat(String callers, String chat, long deadlineMillis, int tokens) {
        return send(
                callers,
                "POST",
                "/v1/chat/completions",
                Map.of(
                        "Authorization",
                        "Bearer " + bearer(),
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
     * Sends a command of the bookings service.
     *
     * @param callers caller address of an instance
     * @param key idempotency key
     * @param body the body
     * @return the answer
     */
    public Answer book(String callers, String key, String body) {
        return book(callers, key, body, DEADLINE_MILLIS);
    }

    /**
     * Sends a command of the bookings service.
     *
     * @param callers caller address of an instance
     * @param key idempotency key
     * @param body the body
     * @param deadlineMillis how long the caller waits
     * @return the answer
     */
    public Answer book(String callers, String key, String body, long deadlineMillis) {
        return send(
                callers,
                "POST",
                "/v1/services/bookings/cylinders",
                Map.of(
                        "Authorization",
                        "Bearer " + bearer(),
                        "Idempotency-Key",
                        key,
                        "X-Deadline-Ms",
                        Long.toString(deadlineMillis)),
                body);
    }
}
