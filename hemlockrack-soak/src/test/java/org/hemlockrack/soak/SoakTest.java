package org.hemlockrack.soak;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;
import static org.junit.jupiter.api.Assertions.fail;

import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

class SoakTest {
    private static final int SECONDS = 12;
    private static final long SEED = 1;
    private static final long[] BROKEN_VARIANT_SEEDS = {3, 4, 6, 7};

    @TempDir Path mFolder;

    /** Guards against any violated guarantee in a short run with faults. */
    @Test
    void guaranteesHoldUnderFaults() {
        SoakResult result = SoakRun.run(new SoakOptions(SEED, SECONDS, false), mFolder);
        assertEquals(List.of(), result.violations());
        assertTrue(
                result.served() > 0 && result.faults() > 0,
                () -> "no requests served or no faults injected: " + result);
    }

    /**
     * Guards against a checker that misses violations, with a broken variant in which commands may
     * run twice. Which requests a fault affects depends on the timing of the processes, so it is
     * enough that one of several seeds detects a second execution.
     */
    @Test
    void brokenVariantIsDetected() {
        List<SoakResult> results = new ArrayList<>();
        for (long seed : BROKEN_VARIANT_SEEDS) {
            Path folder = mFolder.resolve("seed-" + seed);
            assertTrue(folder.toFile().mkdir());
            SoakResult result = SoakRun.run(new SoakOptions(seed, SECONDS, true), folder);
            if (result.violations().stream()
                    .anyMatch(violation -> violation.contains("ran 2 times"))) {
                return;
            }
            results.add(result);
        }
        fail("the broken variant was not detected: " + results);
    }

    /** Guards against planned stops that lose requests which gateways have taken in. */
    @Test
    void plannedStopsLoseNoRequest() {
        SoakResult result = StopRun.run(new SoakOptions(SEED, 1, false), mFolder);
        assertEquals(List.of(), result.violations());
        assertTrue(
                result.served() > 0 && result.faults() > 0,
                () -> "no requests served or no gateway stopped: " + result);
    }

    /** Guards against a checker that misses lost requests, with gateways that are killed early. */
    @Test
    void lostRequestsAreDetected() {
        SoakResult result = StopRun.run(new SoakOptions(SEED, 1, true), mFolder);
        assertTrue(
                result.violations().stream().anyMatch(violation -> violation.endsWith("lost")),
                () -> "no lost request was detected: " + result);
    }
}
