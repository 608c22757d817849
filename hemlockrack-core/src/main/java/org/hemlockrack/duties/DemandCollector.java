package org.hemlockrack.duties;

import java.util.Collection;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;

/** What gateways report of the demand, by service and zone. Not thread-safe. */
public final class DemandCollector {
    /** A gateway that has sent nothing for this long has ended or is partitioned. */
    private static final long GATEWAY_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Map<String, Gateway> mGateways = new HashMap<>();
    private final Map<ReplicaKey, Long> mRefusedSinceRead = new HashMap<>();
    private long mReadNanos;

    private record Gateway(
            long seenNanos, Map<String, Integer> inFlight, Map<String, Long> refused) {}

    private DemandCollector(long nowNanos) {
        mReadNanos = nowNanos;
    }

    /**
     * Creates a collector without reports.
     *
     * @param nowNanos monotonic time
     * @return the collector
     */
    public static DemandCollector create(long nowNanos) {
        return new DemandCollector(nowNanos);
    }

    /**
     * Records a report of a gateway.
     *
     * @param nowNanos monotonic time
     * @param gateway incarnation of the gateway
     * @param zone its zone
     * @param inFlight its requests in progress by server
     * @param refused requests that it has refused since its start, by service; what it had refused
     *     before its first report does not count
     */
    public void recordReport(
            long nowNanos,
            String gateway,
            ZoneId zone,
            Map<String, Integer> inFlight,
            Map<String, Long> refused) {
        Gateway before = mGateways.put(gateway, new Gateway(nowNanos, inFlight, refused));
        if (before == null) {
            return;
        }
        refused.forEach(
                (service, count) -> {
                    long more = count - before.refused().getOrDefault(service, 0L);
                    if (more > 0) {
                        mRefusedSinceRead.merge(
                                new ReplicaKey(ServiceId.of(service), zone), more, Long::sum);
                    }
                });
    }

    /**
     * Returns the demand; the refusals since the last call.
     *
     * @param nowNanos monotonic time
     * @param servers the servers that run and do not leave
     */
    public Map<ReplicaKey, ZoneDemand> read(long nowNanos, Collection<Registration> servers) {
        mGateways.values().removeIf(each -> nowNanos - each.seenNanos() > GATEWAY_EXPIRY_NANOS);
        Map<String, Integer> running = new HashMap<>();
        for (Gateway gateway : mGateways.values()) {
            gateway.inFlight().forEach((id, requests) -> running.merge(id, requests, Integer::sum));
        }
        double seconds = Math.max(0.1, (nowNanos - mReadNanos) / NANOS_PER_SECOND);
        mReadNanos = nowNanos;
        Map<ReplicaKey, ZoneDemand> demand = new HashMap<>();
        for (Registration server : servers) {
            ReplicaKey key = new ReplicaKey(server.service(), server.zone());
            double refused = mRefusedSinceRead.getOrDefault(key, 0L) / seconds;
            int requests = running.getOrDefault(server.id().value(), 0);
            demand.merge(
                    key,
                    new ZoneDemand(1, server.slots(), requests, refused),
                    DemandCollector::sum);
        }
        mRefusedSinceRead.clear();
        return demand;
    }

    private static ZoneDemand sum(ZoneDemand all, ZoneDemand server) {
        return new ZoneDemand(
                all.servers() + server.servers(),
                Math.max(all.slotsPerServer(), server.slotsPerServer()),
                all.running() + server.running(),
                all.refusedPerSecond());
    }
}
