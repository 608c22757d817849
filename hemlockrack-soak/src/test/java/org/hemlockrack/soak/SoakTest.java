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
    private static final long[] BROKEN_SEEDS = {3, 4, 6, 7};

    @TempDir Path mFolder;

    /** Guards against any broken promise under a short series of faults. */
    @Test
    void promisesHoldUnderFaults() {
        SoakResult result = SoakRun.run(new SoakOptions(SEED, SECONDS, false), mFolder);
        assertEquals(List.of(), result.broken());
        assertTrue(result.served() > 0 && result.faults() > 0, () -> "nothing tried: " + result);
    }

    /**
     * Guards against a checker that sees nothing: here commands may run twice. Which requests meet
     * a fault depends on the processes, so one of a few seeds must show it.
     */
    @Test
    void brokenVariantIsCaught() {
        List<SoakResult> results = new ArrayList<>();
        for (long seed : BROKEN_SEEDS) {
            Path folder = mFolder.resolve("seed-" + seed);
            assertTrue(folder.toFile().mkdir());
            SoakResult result = SoakRun.run(new SoakOptions(seed, SECONDS, true), folder);
            if (result.broken().stream().anyMatch(what -> what.contains("ran 2 times"))) {
                return;
            }
            results.add(result);
        }
        fail("the broken variant was not caught: " + results);
    }
}
