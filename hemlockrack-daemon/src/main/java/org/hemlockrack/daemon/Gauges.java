package org.hemlockrack.daemon;

import java.util.HashMap;
import java.util.Locale;
import java.util.Map;
import java.util.function.ToIntFunction;
import java.util.function.ToLongBiFunction;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.TrafficClass;

/** Registers metrics whose values are read from the services at each export. */
final class Gauges {
    private final Metrics mMetrics;

    Gauges(Metrics metrics) {
        mMetrics = metrics;
    }

    void registerProcess() {
        mMetrics.registerValue(MetricName.HEAP_BYTES, Gauges::heapBytes);
        mMetrics.registerValue(MetricName.HEAP_MAX_BYTES, () -> Runtime.getRuntime().maxMemory());
    }

    private static long heapBytes() {
        return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
    }

    void registerOwner(OwnerService owner) {
        registerBackendMetric(owner, MetricName.QUEUE_LENGTH, OwnerService.BackendLoad::queued);
        registerBackendMetric(owner, MetricName.IN_FLIGHT, OwnerService.BackendLoad::inFlight);
        registerBackendMetric(owner, MetricName.LIMIT, OwnerService.BackendLoad::limit);
    }

    private void registerBackendMetric(
            OwnerService owner, MetricName name, ToIntFunction<OwnerService.BackendLoad> read) {
        mMetrics.registerValues(
                name,
                "backend",
                () -> {
                    Map<String, Number> values = new HashMap<>();
                    owner.backendLoads()
                            .forEach((id, load) -> values.put(id.value(), read.applyAsInt(load)));
                    return values;
                });
    }

    void registerControl(ControlBudget budget) {
        registerTrafficMetric(budget, MetricName.CONTROL_BYTES, ControlBudget::sentBytes);
        registerTrafficMetric(budget, MetricName.CONTROL_DEFERRED, ControlBudget::deferredCount);
        registerTrafficMetric(budget, MetricName.CONTROL_DROPPED, ControlBudget::droppedCount);
    }

    private void registerTrafficMetric(
            ControlBudget budget,
            MetricName name,
            ToLongBiFunction<ControlBudget, TrafficClass> read) {
        mMetrics.registerValues(
                name,
                "class",
                () -> {
                    Map<String, Number> values = new HashMap<>();
                    for (TrafficClass trafficClass : TrafficClass.values()) {
                        values.put(
                                trafficClass.name().toLowerCase(Locale.ROOT),
                                read.applyAsLong(budget, trafficClass));
                    }
                    return values;
                });
    }
}
