package org.hemlockrack.daemon.metrics;

import java.util.Locale;

/** Types of the text form. */
public enum MetricType {
    COUNTER,
    GAUGE,
    SUMMARY;

    /** Returns the word in TYPE lines. */
    public String typeName() {
        return name().toLowerCase(Locale.ROOT);
    }
}
