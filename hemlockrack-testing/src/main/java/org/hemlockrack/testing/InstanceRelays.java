package org.hemlockrack.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.settings.Settings;

/**
 * TCP relays for each ordered pair of instances, through which their peer messages and forwarded
 * requests pass. Tests use them to simulate network partitions.
 */
public final class InstanceRelays implements AutoCloseable {
    private final Map<InstancePair, List<AdvertisedRelay>> mRelaysByPair = new LinkedHashMap<>();

    /** Key of the connections that one instance opens to another. */
    private record InstancePair(String from, String to) {}

    /** A relay that replaces the advertised address of an instance. */
    private record AdvertisedRelay(String advertisedAddress, Relay relay) {}

    private InstanceRelays() {}

    /**
     * Opens two relays for each ordered pair: to the peer address and to the internal address.
     *
     * @param instances all instances of the fleet
     * @return the open relays
     */
    static InstanceRelays open(List<LocalFleet.Instance> instances) {
        InstanceRelays instanceRelays = new InstanceRelays();
        for (LocalFleet.Instance from : instances) {
            for (LocalFleet.Instance to : instances) {
                if (!from.id().equals(to.id())) {
                    List<AdvertisedRelay> relays =
                            List.of(openRelay(to.peerAddress()), openRelay(to.internalAddress()));
                    instanceRelays.mRelaysByPair.put(new InstancePair(from.id(), to.id()), relays);
                }
            }
        }
        return instanceRelays;
    }

    private static AdvertisedRelay openRelay(String advertisedAddress) {
        return new AdvertisedRelay(
                advertisedAddress, Relay.open(0, Settings.toAddress(advertisedAddress)));
    }

    /** Returns the values of the setting {@code peers.routes} of an instance. */
    List<String> routeSettings(String id) {
        List<String> settings = new ArrayList<>();
        mRelaysByPair.forEach(
                (pair, relays) -> {
                    if (pair.from().equals(id)) {
                        relays.forEach(
                                relay ->
                                        settings.add(
                                                relay.advertisedAddress()
                                                        + "="
                                                        + relay.relay().address()));
                    }
                });
        return settings;
    }

    /**
     * Drops all data on the connections that one instance opens to another, in both directions.
     *
     * @param from id of the instance that opens the connections
     * @param to id of the instance that accepts them
     */
    public void dropTraffic(String from, String to) {
        mRelaysByPair.get(new InstancePair(from, to)).forEach(relay -> relay.relay().dropTraffic());
    }

    /**
     * Partitions an instance from all others.
     *
     * @param id instance id
     */
    public void isolate(String id) {
        mRelaysByPair.forEach(
                (pair, relays) -> {
                    if (pair.from().equals(id) || pair.to().equals(id)) {
                        relays.forEach(relay -> relay.relay().dropTraffic());
                    }
                });
    }

    /** Ends all partitions. */
    public void heal() {
        mRelaysByPair.values().forEach(relays -> relays.forEach(relay -> relay.relay().heal()));
    }

    @Override
    public void close() {
        mRelaysByPair.values().forEach(relays -> relays.forEach(relay -> relay.relay().close()));
    }
}
