package org.hemlockrack.registry;

import java.util.concurrent.TimeUnit;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ServerData;

/**
 * Contents of one heartbeat of a backend server.
 *
 * @param id id of the server
 * @param startMillis start of the server process, in milliseconds since the epoch; 0 if not stated.
 *     It distinguishes incarnations with the same id
 * @param sequence number of the heartbeat within the incarnation
 * @param service the service it belongs to
 * @param address {@code ip:port}
 * @param zone its availability zone
 * @param softwareVersion version of its software
 * @param slots requests that the server runs concurrently
 * @param leaving whether the server is shutting down and accepts no new requests
 * @param coldMillis remaining duration of the cold start at the receipt of the heartbeat
 */
public record Registration(
        BackendId id,
        long startMillis,
        long sequence,
        ServiceId service,
        String address,
        ZoneId zone,
        String softwareVersion,
        int slots,
        boolean leaving,
        long coldMillis) {
    private static final Pattern ADDRESS =
            Pattern.compile("(\\[[0-9A-Fa-f:.]+]|[0-9A-Za-z][0-9A-Za-z.-]*):([0-9]{1,5})");

    private static final int MAX_PORT = 65_535;

    /** No server runs more requests at once; a larger number would draw all traffic. */
    private static final int MAX_SLOTS = 1_000_000;

    private static final long MAX_COLD_MILLIS = TimeUnit.HOURS.toMillis(1);

    /** Rejects values that no server can have, as another writer may send them. */
    public Registration {
        Matcher matcher = ADDRESS.matcher(address);
        int port = matcher.matches() ? Integer.parseInt(matcher.group(2)) : 0;
        requireValid(port >= 1 && port <= MAX_PORT, "address", address);
        requireValid(slots >= 1 && slots <= MAX_SLOTS, "number of slots", slots);
        requireValid(coldMillis >= 0 && coldMillis <= MAX_COLD_MILLIS, "cold time", coldMillis);
    }

    private static void requireValid(boolean valid, String what, Object value) {
        if (!valid) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, String.format(ErrorText.SERVER_VALUE, what, value));
        }
    }

    /** Returns whether this heartbeat is newer than another one with the same id. */
    boolean isNewerThan(Registration other) {
        if (startMillis != other.startMillis) {
            return startMillis > other.startMillis;
        }
        return sequence > other.sequence;
    }

    /** Returns whether this heartbeat changes anything that gateways must apply. */
    boolean requiresUpdateOf(Registration other) {
        return startMillis != other.startMillis
                || leaving != other.leaving
                || coldMillis > 0 != other.coldMillis > 0
                || !address.equals(other.address)
                || !service.equals(other.service)
                || !softwareVersion.equals(other.softwareVersion)
                || slots != other.slots;
    }

    ServerData toData(long coldLeftMillis, long ageMillis) {
        return new ServerData(
                id.value(),
                startMillis,
                sequence,
                service.value(),
                address,
                zone.value(),
                softwareVersion,
                slots,
                leaving,
                coldLeftMillis,
                ageMillis);
    }

    static Registration fromData(ServerData data) {
        return new Registration(
                BackendId.of(data.getId()),
                data.getBornMillis(),
                data.getSequence(),
                ServiceId.of(data.getServiceName()),
                data.getAddress(),
                ZoneId.of(data.getZone()),
                data.getSoftwareVersion(),
                data.getSlots(),
                data.isLeaving(),
                data.getColdMillis());
    }
}
