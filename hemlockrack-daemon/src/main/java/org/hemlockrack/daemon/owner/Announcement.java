package org.hemlockrack.daemon.owner;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.IOException;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AnnouncedState;
import org.hemlockrack.admission.LeaseEcho;
import org.hemlockrack.admission.PreviousOwner;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.Version;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.Names;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.jspecify.annotations.Nullable;

/**
 * The periodic heartbeat of a backend server, by which it registers with its owner and renews the
 * owner's lease.
 *
 * @param id the backend server
 * @param incarnation increases with each start of its process
 * @param sequence increases with each announcement of the incarnation
 * @param zone its availability zone
 * @param address {@code ip:port} that accepts requests and orders to load or unload models
 * @param service service it belongs to
 * @param models loaded models
 * @param limit maximum number of concurrent requests that it can process
 * @param inFlight requests it is processing
 * @param checksFencing whether it refuses orders with an outdated fencing token
 * @param state whether it accepts new requests
 * @param previous its last announcement to another instance; if there is none, the age of its
 *     process
 * @param echo the last acknowledgement it received from this instance, null if there is none
 */
public record Announcement(
        BackendId id,
        long incarnation,
        long sequence,
        ZoneId zone,
        String address,
        ServiceId service,
        List<ModelVersion> models,
        int limit,
        int inFlight,
        boolean checksFencing,
        AnnouncedState state,
        PreviousOwner previous,
        @Nullable LeaseEcho echo) {

    private static final ObjectMapper JSON = new ObjectMapper();

    /**
     * Parses the JSON form.
     *
     * @param body the JSON text
     * @return the announcement
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if a field is missing or
     *     malformed
     */
    public static Announcement parse(byte[] body) {
        try (ParseMemory.Meter memory = ParseMemory.ofProcess().reserveTree(body)) {
            return read(JSON.readTree(body));
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "the announcement is not JSON: " + e.getMessage(), e);
        }
    }

    private static Announcement read(JsonNode json) {
        return new Announcement(
                BackendId.of(text(json, "id")),
                number(json, "incarnation"),
                number(json, "sequence"),
                ZoneId.of(text(json, "zone")),
                address(json),
                ServiceId.of(text(json, "service")),
                models(json),
                (int) number(json, "limit"),
                (int) number(json, "in_flight"),
                json.path("checks_fencing").asBoolean(),
                state(json),
                previous(json),
                echo(json.path("echo")));
    }

    private static String text(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isTextual()) {
            throw invalidField(field, value, "text");
        }
        return value.textValue();
    }

    private static long number(JsonNode json, String field) {
        JsonNode value = json.path(field);
        if (!value.isIntegralNumber() || value.longValue() < 0) {
            throw invalidField(field, value, "a whole number of at least 0");
        }
        return value.longValue();
    }

    private static HemlockrackException invalidField(String field, JsonNode value, String allowed) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST,
                String.format(
                        "announcement field \"%s\" is %s; allowed: %s",
                        field, value.isContainerNode() ? value.getNodeType() : value, allowed));
    }

    private static String address(JsonNode json) {
        String address = text(json, "address");
        if (!address.matches("[0-9.]+:[0-9]{1,5}") || !Names.isValid(address)) {
            throw invalidField("address", json.path("address"), "ip:port");
        }
        return address;
    }

    private static List<ModelVersion> models(JsonNode json) {
        List<ModelVersion> models = new ArrayList<>();
        for (JsonNode model : json.path("models")) {
            models.add(ModelVersion.of(text(model, "model"), text(model, "version")));
        }
        return models;
    }

    private static AnnouncedState state(JsonNode json) {
        String state = text(json, "state");
        try {
            return AnnouncedState.valueOf(state.toUpperCase(Locale.ROOT));
        } catch (IllegalArgumentException e) {
            throw invalidField("state", json.path("state"), "ready, leaving");
        }
    }

    private static PreviousOwner previous(JsonNode json) {
        long ageNanos = TimeUnit.MILLISECONDS.toNanos(number(json, "previous_age_ms"));
        if (!json.hasNonNull("previous_owner")) {
            return PreviousOwner.none(ageNanos);
        }
        return new PreviousOwner(
                InstanceId.of(text(json, "previous_owner")),
                ageNanos,
                number(json, "previous_sequence"));
    }

    private static @Nullable LeaseEcho echo(JsonNode json) {
        if (!json.isObject()) {
            return null;
        }
        long heldNanos = TimeUnit.MILLISECONDS.toNanos(number(json, "held_ms"));
        return new LeaseEcho(
                json.path("owner_epoch").asLong(), json.path("owner_nanos").asLong(), heldNanos);
    }

    AdmissionEvent.Announced toEvent() {
        return new AdmissionEvent.Announced(
                incarnation, limit, inFlight, state, sequence, previous, echo);
    }

    Backend toDirectoryEntry(InstanceId owner) {
        org.hemlockrack.membership.BackendState directoryState =
                state.acceptsRequests()
                        ? org.hemlockrack.membership.BackendState.READY
                        : org.hemlockrack.membership.BackendState.LEAVING;
        return new Backend(
                id,
                service,
                models,
                zone,
                address,
                directoryState,
                limit,
                checksFencing,
                owner,
                Version.of(incarnation, 0));
    }
}
