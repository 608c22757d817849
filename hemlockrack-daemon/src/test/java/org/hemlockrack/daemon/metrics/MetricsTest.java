package org.hemlockrack.daemon.metrics;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class MetricsTest {
    /** Guards against metrics that are missing or described differently in the documentation. */
    @Test
    void documentationMatchesMetricNames() throws IOException {
        List<String> documented =
                Files.readAllLines(Path.of("..", "docs", "metrics.md")).stream()
                        .filter(line -> line.startsWith("| `"))
                        .collect(Collectors.toList());
        List<String> actual =
                Arrays.stream(MetricName.values())
                        .map(
                                name ->
                                        String.format(
                                                "| `%s` | %s | %s | %s |",
                                                name.fullName(),
                                                name.type().typeName(),
                                                name.unit(),
                                                name.help()))
                        .collect(Collectors.toList());
        assertEquals(actual, documented);
    }

    /** Guards against output that parsers of the text format reject or misread. */
    @Test
    void outputHasHelpTypeAndValues() {
        Metrics metrics = Metrics.create();
        metrics.increment(MetricName.REQUESTS, "kind", "OK");
        metrics.increment(MetricName.REQUESTS, "kind", "OK");
        metrics.increment(MetricName.RETRIES, "", "");
        metrics.registerValue(MetricName.TERM, () -> 7);
        metrics.registerValues(MetricName.LIMIT, "backend", () -> Map.of("engine", 4));
        metrics.recordDuration(MetricName.REQUEST_DURATION, 2_000_000_000L);
        List<String> lines = metrics.render().lines().collect(Collectors.toList());
        for (String expected :
                List.of(
                        "# HELP hemlockrack_requests_total Ended requests by outcome kind"
                                + " (requests)",
                        "# TYPE hemlockrack_requests_total counter",
                        "hemlockrack_requests_total{kind=\"OK\"} 2",
                        "hemlockrack_retries_total 1",
                        "hemlockrack_term 7",
                        "hemlockrack_limit{backend=\"engine\"} 4",
                        "# TYPE hemlockrack_request_seconds summary",
                        "hemlockrack_request_seconds{quantile=\"0.5\"} 2.0",
                        "hemlockrack_request_seconds_count 1")) {
            assertTrue(lines.contains(expected), () -> expected + " is not in " + lines);
        }
        long types = lines.stream().filter(line -> line.startsWith("# TYPE ")).count();
        assertEquals(MetricName.values().length, types);
    }
}
