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
 * What the operators and leaving backend servers have had acknowledged, beside the route table.
 * Immutable.
 *
 * @param evacuatedZones availability zones whose backend servers get nothing
 * @param moves the newest move of each service
 * @param departures incarnations that said that they leave, by id, with their start times
 */
public record RoutingOverrides(
        Set<ZoneId> evacuatedZones,
        Map<ServiceId, TrafficMove> moves,
        Map<BackendId, Departure> departures) {
    /** Nothing acknowledged. */
    public static final RoutingOverrides NONE = new RoutingOverrides(Set.of(), Map.of(), Map.of());

    /**
     * A backend server that leaves.
     *
     * @param startMillis start of the incarnation, 0 if not stated
     * @param atMillis wall-clock time of the leader
     */
    public record Departure(long startMillis, long atMillis) {}

    /** Copies the collections. */
    public RoutingOverrides {
        evacuatedZones = Set.copyOf(evacuatedZones);
        moves = Map.copyOf(moves);
        departures = Map.copyOf(departures);
    }

    /**
     * Returns whether an incarnation has said that it leaves.
     *
     * @param id its id
     * @param bornMillis its start
     * @return true if it has; a later start under the same id has not
     */
    public boolean hasDeparted(BackendId id, long bornMillis) {
        Departure departure = departures.get(id);
        return departure != null && bornMillis <= departure.startMillis();
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

    RoutingOverrides withDeparture(BackendId id, Departure departure, long forgetBeforeMillis) {
        Map<BackendId, Departure> next = new HashMap<>(departures);
        next.values().removeIf(each -> each.atMillis() < forgetBeforeMillis);
        next.put(id, departure);
        return new RoutingOverrides(evacuatedZones, moves, next);
    }

    /** Returns the facts as Thrift data. */
    public ControlFactsData toData() {
        Set<String> zones = new HashSet<>();
        evacuatedZones.forEach(zone -> zones.add(zone.value()));
        List<MoveData> moveData = new ArrayList<>();
        moves.values().forEach(move -> moveData.add(move.toData()));
        List<DepartureData> left = new ArrayList<>();
        departures.forEach(
                (id, each) ->
                        left.add(
                                new DepartureData(
                                        id.value(), each.startMillis(), each.atMillis())));
        return new ControlFactsData(zones, moveData, left);
    }

    /**
     * Reads facts.
     *
     * @param data the data
     * @return the facts
     */
    public static RoutingOverrides of(ControlFactsData data) {
        Set<ZoneId> zones = new HashSet<>();
        data.getEvacuatedZones().forEach(zone -> zones.add(ZoneId.of(zone)));
        Map<ServiceId, TrafficMove> moves = new LinkedHashMap<>();
        for (MoveData each : data.getMoves()) {
            TrafficMove move = TrafficMove.of(each);
            moves.put(move.service(), move);
        }
        Map<BackendId, Departure> left = new HashMap<>();
        for (DepartureData each : data.getDepartures()) {
            left.put(
                    BackendId.of(each.getServer()),
                    new Departure(each.getBornMillis(), each.getAtMillis()));
        }
        return new RoutingOverrides(zones, moves, left);
    }
}
