package org.hemlockrack.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;

/** The metrics of one instance, kept in a {@link MetricRegistry}. Safe for use from any thread. */
public final class Metrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Map<MetricName, Supplier<Map<String, Number>>> mValues =
            new ConcurrentHashMap<>();
    private final Map<MetricName, Map<String, String>> mLabels = new ConcurrentHashMap<>();

    private Metrics() {}

    /** Creates empty metrics. */
    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Counts one event.
     *
     * @param name a counter
     * @param label name of the label, empty for none
     * @param value value of the label; callers must not choose it
     */
    public void increment(MetricName name, String label, String value) {
        String labels = labels(label, value);
        mLabels.computeIfAbsent(name, key -> new ConcurrentHashMap<>())
                .putIfAbsent(labels, name.fullName() + labels);
        mRegistry.counter(name.fullName() + labels).inc();
    }

    /**
     * Records a duration.
     *
     * @param name a summary
     * @param nanos the duration
     */
    public void recordDuration(MetricName name, long nanos) {
        mRegistry.histogram(name.fullName()).update(nanos);
    }

    /**
     * Records a duration.
     *
     * @param name a summary
     * @param label name of the label
     * @param value value of the label; callers must not choose it
     * @param nanos the duration
     */
    public void recordDuration(MetricName name, String label, String value, long nanos) {
        String labels = labels(label, value);
        mLabels.computeIfAbsent(name, key -> new ConcurrentHashMap<>())
                .putIfAbsent(labels, name.fullName() + labels);
        mRegistry.histogram(name.fullName() + labels).update(nanos);
    }

    /**
     * Sets how the values of a metric are read; the reader is called on any thread.
     *
     * @param name a gauge or counter
     * @param value reads the value
     */
    public void registerValue(MetricName name, Supplier<Number> value) {
        mValues.put(name, () -> Map.of("", value.get()));
    }

    /**
     * Sets how the values of a metric with a label are read.
     *
     * @param name a gauge or counter
     * @param label name of the label
     * @param values reads the values by value of the label
     */
    public void registerValues(
            MetricName name, String label, Supplier<Map<String, Number>> values) {
        mValues.put(
                name,
                () -> {
                    Map<String, Number> all = new TreeMap<>();
                    values.get().forEach((value, number) -> all.put(labels(label, value), number));
                    return all;
                });
    }

    private static String labels(String label, String value) {
        return label.isEmpty() ? "" : "{" + label + "=\"" + value + "\"}";
    }

    /** Returns the text form, with HELP and TYPE of every metric. */
    public String render() {
        StringBuilder text = new StringBuilder();
        for (MetricName name : MetricName.values()) {
            text.append("# HELP ").append(name.fullName()).append(' ').append(name.help());
            text.append(" (").append(name.unit()).append(")\n");
            text.append("# TYPE ")
                    .append(name.fullName())
                    .append(' ')
                    .append(name.type().typeName());
            text.append('\n');
            appendValues(text, name);
        }
        return text.toString();
    }

    private void appendValues(StringBuilder text, MetricName name) {
        if (name.type() == MetricType.SUMMARY) {
            Map<String, String> labels = mLabels.getOrDefault(name, Map.of("", name.fullName()));
            labels.forEach((each, key) -> appendSummary(text, name, each, key));
            return;
        }
        Supplier<Map<String, Number>> values = mValues.get(name);
        if (values != null) {
            values.get().forEach((labels, value) -> line(text, name.fullName() + labels, value));
        }
        for (String key : mLabels.getOrDefault(name, Map.of()).values()) {
            line(text, key, mRegistry.counter(key).getCount());
        }
    }

    private void appendSummary(StringBuilder text, MetricName name, String labels, String key) {
        Histogram histogram = mRegistry.histogram(key);
        String more = labels.isEmpty() ? "" : labels.substring(1, labels.length() - 1) + ",";
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            line(
                    text,
                    name.fullName() + "{" + more + "quantile=\"" + quantile + "\"}",
                    snapshot.getValue(quantile) / NANOS_PER_SECOND);
        }
        line(text, name.fullName() + "_count" + labels, histogram.getCount());
    }

    private static void line(StringBuilder text, String key, Number value) {
        text.append(key).append(' ').append(value).append('\n');
    }
}
