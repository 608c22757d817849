package org.hemlockrack.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Random;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.seeds.FixedSeed;
import org.junit.jupiter.api.Test;

class DurationEstimateTest {
    private static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /** Guards against an estimate that is taken from nothing. */
    @Test
    void withoutSamplesTheDefaultHolds() {
        DurationEstimate estimate = DurationEstimate.create();
        assertEquals(7, estimate.upperNanos(7));
        estimate.record(100 * MILLI);
        assertTrue(estimate.upperNanos(7) >= 100 * MILLI);
    }

    /**
     * Guards against an estimate that many answers exceed, which would be cut at a stop, and
     * against one far above all answers, by which a stopping instance would refuse them.
     */
    @Property(tries = 200)
    @FixedSeed("1")
    void fewAnswersExceedTheEstimate(@ForAll long seed) {
        Random random = new Random(seed);
        DurationEstimate estimate = DurationEstimate.create();
        double meanMillis = 50 + random.nextInt(2_000);
        int exceeded = 0;
        int count = 2_000;
        for (int i = 0; i < count; i++) {
            long nanos = (long) (meanMillis * MILLI * (0.5 + random.nextDouble()));
            if (i > 20) {
                exceeded += nanos > estimate.upperNanos(0) ? 1 : 0;
                assertTrue(estimate.upperNanos(0) < 4 * meanMillis * MILLI);
            }
            estimate.record(nanos);
        }
        assertTrue(exceeded < count / 50, () -> "too many answers exceed the estimate");
    }
}
