package org.hemlockrack.daemon.metrics;

import java.util.Locale;

/** Metric types of the Prometheus text format. */
public enum MetricType {
    COUNTER,
    GAUGE,
    SUMMARY;

    /** Returns the name of the type in TYPE lines. */
    public String typeName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
