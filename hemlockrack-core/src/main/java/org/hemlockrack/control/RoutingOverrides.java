package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ControlFactsData;
import org.hemlockrack.wire.DepartureData;
import org.hemlockrack.wire.MoveData;
import org.jspecify.annotations.Nullable;

/**
 * Acknowledged changes that apply on top of the route table: evacuated zones, traffic moves and
 * departures of backend servers. Immutable.
 *
 * @param evacuatedZones availability zones whose backend servers get no requests
 * @param moves the newest move of each service
 * @param departures the last announced departure of each backend server
 */
public record RoutingOverrides(
        Set<ZoneId> evacuatedZones,
        Map<ServiceId, TrafficMove> moves,
        Map<BackendId, Departure> departures) {
    /** No overrides. */
    public static final RoutingOverrides NONE = new RoutingOverrides(Set.of(), Map.of(), Map.of());

    /**
     * The departure of a backend server.
     *
     * @param startMillis start time of the incarnation that leaves, 0 if not stated
     * @param departedMillis wall-clock time of the leader when the departure was applied
     */
    public record Departure(long startMillis, long departedMillis) {}

    /** Copies the collections. */
    public RoutingOverrides {
        evacuatedZones = Set.copyOf(evacuatedZones);
        moves = Map.copyOf(moves);
        departures = Map.copyOf(departures);
    }

    /**
     * Returns whether an incarnation of a backend server has announced its departure.
     *
     * @param id id of the server
     * @param startMillis start time of the incarnation
     * @return true if this or a later incarnation has; a server that was restarted after its
     *     departure has not departed
     */
    public boolean hasDeparted(BackendId id, long startMillis) {
        Departure departure = departures.get(id);
        return departure != null && startMillis <= departure.startMillis();
    }

    /** Returns the newest move of a service, or null. */
    public @Nullable TrafficMove move(ServiceId service) {
        return moves.get(service);
    }

    RoutingOverrides withZone(ZoneId zone, boolean evacuated) {
        Set<ZoneId> zones = new HashSet<>(evacuatedZones);
        if (evacuated) {
            zones.add(zone);
        } else {
            zones.remove(zone);
        }
        return new RoutingOverrides(zones, moves, departures);
    }

    RoutingOverrides withMove(TrafficMove move) {
        Map<ServiceId, TrafficMove> next = new HashMap<>(moves);
        next.put(move.service(), move);
        return new RoutingOverrides(evacuatedZones, next, departures);
    }

    RoutingOverrides withDeparture(BackendId id, Departure departure, long dropBeforeMillis) {
        Map<BackendId, Departure> next = new HashMap<>(departures);
        next.values().removeIf(each -> each.departedMillis() < dropBeforeMillis);
        next.put(id, departure);
        return new RoutingOverrides(evacuatedZones, moves, next);
    }

    /** Returns the overrides as a Thrift struct. */
    public ControlFactsData toData() {
        Set<String> zones = new HashSet<>();
        evacuatedZones.forEach(zone -> zones.add(zone.value()));
        List<MoveData> moveData = new ArrayList<>();
        moves.values().forEach(move -> moveData.add(move.toData()));
        List<DepartureData> departureData = new ArrayList<>();
        departures.forEach(
                (id, each) ->
                        departureData.add(
                                new DepartureData(
                                        id.value(), each.startMillis(), each.departedMillis())));
        return new ControlFactsData(zones, moveData, departureData);
    }

    /**
     * Converts a Thrift struct to overrides.
     *
     * @param data the struct
     * @return the overrides
     */
    public static RoutingOverrides of(ControlFactsData data) {
        Set<ZoneId> zones = new HashSet<>();
        data.getEvacuatedZones().forEach(zone -> zones.add(ZoneId.of(zone)));
        Map<ServiceId, TrafficMove> moves = new LinkedHashMap<>();
        for (MoveData each : data.getMoves()) {
            TrafficMove move = TrafficMove.of(each);
            moves.put(move.service(), move);
        }
        Map<BackendId, Departure> departures = new HashMap<>();
        for (DepartureData each : data.getDepartures()) {
            departures.put(
                    BackendId.of(each.getServer()),
                    new Departure(each.getBornMillis(), each.getAtMillis()));
        }
        return new RoutingOverrides(zones, moves, departures);
    }
}
