package org.hemlockrack.daemon.metrics;

import com.codahale.metrics.Histogram;
import com.codahale.metrics.MetricRegistry;
import com.codahale.metrics.Snapshot;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Supplier;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.limits.RequestMemory;

/**
 * The metrics of one instance. Counters and durations are kept in a {@link MetricRegistry}; other
 * values are read when the metrics are rendered. Safe for use from any thread.
 */
public final class Metrics {
    private static final double NANOS_PER_SECOND = 1e9;
    private static final double[] QUANTILES = {0.5, 0.95, 0.99};

    private final MetricRegistry mRegistry = new MetricRegistry();
    private final Map<MetricName, Supplier<Map<String, Number>>> mValueReaders =
            new ConcurrentHashMap<>();
    private final Map<MetricName, Map<String, String>> mKeysByLabels = new ConcurrentHashMap<>();

    private Metrics() {}

    /** Creates empty metrics. */
    public static Metrics create() {
        return new Metrics();
    }

    /**
     * Increments a counter by one.
     *
     * @param name a counter
     * @param label name of the label, empty for none
     * @param value value of the label; must come from a bounded set and never from a request,
     *     because each value is kept forever
     */
    public void increment(MetricName name, String label, String value) {
        String labels = formatLabel(label, value);
        mKeysByLabels
                .computeIfAbsent(name, key -> new ConcurrentHashMap<>())
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
     * Records a duration with a label.
     *
     * @param name a summary
     * @param label name of the label
     * @param value value of the label; must come from a bounded set and never from a request,
     *     because each value is kept forever
     * @param nanos the duration
     */
    public void recordDuration(MetricName name, String label, String value, long nanos) {
        String labels = formatLabel(label, value);
        mKeysByLabels
                .computeIfAbsent(name, key -> new ConcurrentHashMap<>())
                .putIfAbsent(labels, name.fullName() + labels);
        mRegistry.histogram(name.fullName() + labels).update(nanos);
    }

    /**
     * Registers a reader for the value of a metric. It is called, on any thread, each time the
     * metrics are rendered.
     *
     * @param name a gauge or counter
     * @param reader reads the value
     */
    public void registerValue(MetricName name, Supplier<Number> reader) {
        mValueReaders.put(name, () -> Map.of("", reader.get()));
    }

    /** Registers what the requests to the ports of this process hold. */
    public void registerRequestMemory(RequestMemory memory) {
        registerValue(MetricName.HEAD_BYTES, () -> memory.heldBytes(RequestMemory.Kind.HEAD));
        registerValue(MetricName.BODY_BYTES, () -> memory.heldBytes(RequestMemory.Kind.BODY));
        registerValue(
                MetricName.CONNECTION_BYTES, () -> memory.heldBytes(RequestMemory.Kind.CONNECTION));
        registerValue(
                MetricName.RESPONSE_BYTES,
                () -> memory.responses().heldBytes(RequestMemory.Kind.RESPONSE));
        registerValue(MetricName.PARSE_BYTES, ParseMemory.ofProcess()::reservedBytes);
        registerValue(MetricName.PARSE_REFUSALS, ParseMemory.ofProcess()::refusals);
        registerValue(MetricName.EVICTIONS, memory::evictions);
    }

    /**
     * Registers a reader for the values of a metric with a label. It is called, on any thread, each
     * time the metrics are rendered.
     *
     * @param name a gauge or counter
     * @param label name of the label
     * @param reader returns the values by value of the label
     */
    public void registerValues(
            MetricName name, String label, Supplier<Map<String, Number>> reader) {
        mValueReaders.put(
                name,
                () -> {
                    Map<String, Number> all = new TreeMap<>();
                    reader.get()
                            .forEach((value, number) -> all.put(formatLabel(label, value), number));
                    return all;
                });
    }

    private static String formatLabel(String label, String value) {
        return label.isEmpty() ? "" : "{" + label + "=\"" + value + "\"}";
    }

    /** Renders all metrics in the Prometheus text format, with HELP and TYPE of every metric. */
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
            Map<String, String> labels =
                    mKeysByLabels.getOrDefault(name, Map.of("", name.fullName()));
            labels.forEach((each, key) -> appendSummary(text, name, each, key));
            return;
        }
        Supplier<Map<String, Number>> values = mValueReaders.get(name);
        if (values != null) {
            values.get()
                    .forEach((labels, value) -> appendLine(text, name.fullName() + labels, value));
        }
        for (String key : mKeysByLabels.getOrDefault(name, Map.of()).values()) {
            appendLine(text, key, mRegistry.counter(key).getCount());
        }
    }

    private void appendSummary(StringBuilder text, MetricName name, String labels, String key) {
        Histogram histogram = mRegistry.histogram(key);
        String otherLabels = labels.isEmpty() ? "" : labels.substring(1, labels.length() - 1) + ",";
        Snapshot snapshot = histogram.getSnapshot();
        for (double quantile : QUANTILES) {
            appendLine(
                    text,
                    name.fullName() + "{" + otherLabels + "quantile=\"" + quantile + "\"}",
                    snapshot.getValue(quantile) / NANOS_PER_SECOND);
        }
        appendLine(text, name.fullName() + "_count" + labels, histogram.getCount());
    }

    private static void appendLine(StringBuilder text, String key, Number value) {
        text.append(key).append(' ').append(value).append('\n');
    }
}
