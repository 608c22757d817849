package org.hemlockrack.testing;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.daemon.settings.Settings;

/** Relays between each ordered pair of instances, for peer messages and forwarded requests. */
public final class Links implements AutoCloseable {
    private final Map<Pair, List<Route>> mRoutes = new LinkedHashMap<>();

    /** The connections that one instance opens to another. */
    private record Pair(String from, String to) {}

    /** A relay that stands for an advertised address. */
    private record Route(String advertised, Relay relay) {}

    private Links() {}

    /**
     * Opens the relays.
     *
     * @param instances the instances
     * @return the open relays
     */
    static Links open(List<LocalFleet.Instance> instances) {
        Links links = new Links();
        for (LocalFleet.Instance from : instances) {
            for (LocalFleet.Instance to : instances) {
                if (!from.id().equals(to.id())) {
                    List<Route> routes =
                            List.of(route(to.peerAddress()), route(to.internalAddress()));
                    links.mRoutes.put(new Pair(from.id(), to.id()), routes);
                }
            }
        }
        return links;
    }

    private static Route route(String advertised) {
        return new Route(advertised, Relay.open(0, Settings.toAddress(advertised)));
    }

    /** Returns the {@code peers.routes} of an instance. */
    List<String> routes(String from) {
        List<String> texts = new ArrayList<>();
        mRoutes.forEach(
                (pair, routes) -> {
                    if (pair.from().equals(from)) {
                        routes.forEach(r -> texts.add(r.advertised() + "=" + r.relay().address()));
                    }
                });
        return texts;
    }

    /**
     * Loses everything on the connections that one instance opens to another.
     *
     * @param from the instance that opens them
     * @param to the other
     */
    public void cut(String from, String to) {
        mRoutes.get(new Pair(from, to)).forEach(route -> route.relay().cut());
    }

    /**
     * Cuts an instance off from all others.
     *
     * @param id the instance
     */
    public void isolate(String id) {
        mRoutes.forEach(
                (pair, routes) -> {
                    if (pair.from().equals(id) || pair.to().equals(id)) {
                        routes.forEach(route -> route.relay().cut());
                    }
                });
    }

    /** Ends all cuts. */
    public void heal() {
        mRoutes.values().forEach(routes -> routes.forEach(route -> route.relay().heal()));
    }

    @Override
    public void close() {
        mRoutes.values().forEach(routes -> routes.forEach(route -> route.relay().close()));
    }
}
