package org.hemlockrack.registry;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ServerData;

/**
 * What one heartbeat of a backend server says.
 *
 * @param id id of the incarnation
 * @param startMillis start of the process in milliseconds since the epoch, 0 if not stated
 * @param sequence number of the heartbeat within the incarnation
 * @param service the service it belongs to
 * @param address {@code ip:port}
 * @param zone its availability zone
 * @param softwareVersion version of its software
 * @param slots requests that it runs at once
 * @param leaving whether it takes no new work
 * @param coldMillis how much longer it is cold, from the receipt of the heartbeat
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

    /** Returns whether this heartbeat is newer than another one of the same id. */
    boolean isAfter(Registration other) {
        if (startMillis != other.startMillis) {
            return startMillis > other.startMillis;
        }
        return sequence > other.sequence;
    }

    /** Returns whether a gateway has to act on the difference to an earlier heartbeat. */
    boolean differsFrom(Registration other) {
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

    static Registration of(ServerData data) {
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
