package org.hemlockrack.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class SlidingSumTest {
    private static final long SLOT = 100;
    private static final long WINDOW = 10 * SLOT;

    private final SlidingSum mSum = SlidingSum.empty(0, WINDOW, 10);

    /** Guards against amounts that are lost when a span ends at the start of a slot. */
    @Test
    void spanIsSpreadOverItsSlots() {
        mSum.addSince(4 * SLOT, 2 * SLOT, 20);
        assertEquals(20, mSum.sum(4 * SLOT));
        assertEquals(10, mSum.sum(4 * SLOT, SLOT, SLOT));
        assertEquals(20, mSum.sum(4 * SLOT, 2 * SLOT, SLOT));
        assertEquals(0, mSum.sum(4 * SLOT, SLOT, 3 * SLOT));
        mSum.addSince(4 * SLOT + SLOT / 2, 4 * SLOT, 5);
        assertEquals(5, mSum.sum(5 * SLOT, SLOT, SLOT));
    }

    /** Guards against amounts from before the window that count as if they were in it. */
    @Test
    void spanBeforeTheWindowIsLeftOut() {
        mSum.addSince(30 * SLOT, 0, 30);
        assertEquals(10, mSum.sum(30 * SLOT, WINDOW, SLOT), 1);
        assertEquals(0, mSum.sum(41 * SLOT));
    }
}
