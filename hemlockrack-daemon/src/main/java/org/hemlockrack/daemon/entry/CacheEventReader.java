package org.hemlockrack.daemon.entry;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.placement.CacheEvent;
import org.hemlockrack.placement.PlacementKey;

/** Parses cache events from JSON. */
public final class CacheEventReader {
    private static final int HEX_RADIX = 16;
    private static final int MAX_KEYS_PER_LIST = 10_000;
    private static final ObjectMapper JSON = new ObjectMapper();

    private CacheEventReader() {}

    /**
     * Parses a cache event.
     *
     * @param body the JSON text
     * @return the event
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static CacheEvent parse(byte[] body) {
        try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(body)) {
            JsonNode json = JSON.readTree(body);
            return new CacheEvent(
                    ServiceId.of(json.path("service").asText()),
                    BackendId.of(json.path("id").asText()),
                    ModelVersion.of(json.path("model").asText(), json.path("version").asText()),
                    json.path("incarnation").asLong(),
                    json.path("seq").asLong(),
                    TimeUnit.MILLISECONDS.toNanos(json.path("age_ms").asLong()),
                    keys(json.path("added")),
                    keys(json.path("removed")),
                    json.path("cleared").asBoolean());
        } catch (IOException | NumberFormatException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "malformed cache event: " + e.getMessage(), e);
        }
    }

    private static List<PlacementKey> keys(JsonNode list) {
        if (list.size() > MAX_KEYS_PER_LIST) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    "a cache event names " + list.size() + " keys; allowed: " + MAX_KEYS_PER_LIST);
        }
        List<PlacementKey> keys = new ArrayList<>();
        for (JsonNode key : list) {
            keys.add(new PlacementKey(Long.parseUnsignedLong(key.asText(), HEX_RADIX)));
        }
        return keys;
    }
}
