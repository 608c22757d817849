package org.hemlockrack.membership;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayDeque;
import java.util.SplittableRandom;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;

class ControlBudgetTest {
    /** Guards the hard limit: no window of one second carries more bytes than the budget. */
    @Property(tries = 100)
    void noWindowExceedsTheBudget(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        ControlBudget budget = ControlBudget.of(4_096, 0);
        ArrayDeque<long[]> sent = new ArrayDeque<>();
        long windowBytes = 0;
        long now = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextLong(20_000_000);
            int bytes = 150 + random.nextInt(600);
            TrafficClass trafficClass = TrafficClass.values()[random.nextInt(6)];
            if (budget.tryCharge(now, trafficClass, bytes)) {
                sent.add(new long[] {now, bytes});
                windowBytes += bytes;
            }
            while (!sent.isEmpty() && sent.peek()[0] <= now - 1_000_000_000L) {
                windowBytes -= sent.poll()[1];
            }
            assertTrue(windowBytes <= 4_096);
        }
    }

    /** Guards against cache events that use up the budget that more important classes need. */
    @Test
    void lowerClassesLeaveAReserve() {
        ControlBudget budget = ControlBudget.of(4_096, 0);
        assertTrue(budget.tryCharge(0, TrafficClass.CACHE, 200));
        assertFalse(budget.tryCharge(0, TrafficClass.CACHE, 200));
        assertEquals(1, budget.deferredCount(TrafficClass.CACHE));
        assertTrue(budget.tryCharge(0, TrafficClass.URGENT, 550));
        assertTrue(budget.tryCharge(0, TrafficClass.PROBE, 250));
        assertThrows(HemlockrackException.class, () -> ControlBudget.of(100, 0));
    }
}
