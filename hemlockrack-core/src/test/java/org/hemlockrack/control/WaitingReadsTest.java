package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import org.hemlockrack.control.WaitingReads.Ended;
import org.hemlockrack.control.WaitingReads.Leader;
import org.hemlockrack.control.WaitingReads.Outcome;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;
import org.junit.jupiter.params.provider.EnumSource;

class WaitingReadsTest {
    private static final long ARRIVAL_NANOS = Long.MAX_VALUE - 5;

    private final WaitingReads<String> mReads = WaitingReads.create();

    private void add(Leader leader) {
        assertNull(mReads.add(ARRIVAL_NANOS, "r", leader, true));
    }

    /** Guards against a state that lacks what was committed between its confirmation and a read. */
    @Test
    void confirmationOfBeforeTheArrivalIsNotEnough() {
        add(Leader.OTHER);
        assertEquals(List.of(), mReads.end(ARRIVAL_NANOS + 1, null, Leader.OTHER));
        long before = ARRIVAL_NANOS - 1;
        assertEquals(List.of(), mReads.end(ARRIVAL_NANOS + 1, before, Leader.OTHER));
    }

    /** Guards against reads that only the leader answers; the clock may overflow. */
    @ParameterizedTest
    @CsvSource({"SELF, 0", "OTHER, 0", "NONE, 0", "OTHER, 100"})
    void confirmationOfTheArrivalIsEnough(Leader leader, long laterNanos) {
        add(Leader.OTHER);
        assertEquals(
                List.of(new Ended<>("r", Outcome.SERVE)),
                mReads.end(ARRIVAL_NANOS + 200, ARRIVAL_NANOS + laterNanos, leader));
        assertTrue(mReads.isEmpty());
    }

    /** Guards against callers that move on, because a read waits or is redirected too late. */
    @ParameterizedTest
    @CsvSource({"OTHER, 600, REDIRECT", "NONE, 600, REFUSE", "SELF, 2000, REFUSE"})
    void readEndsAtItsBound(Leader leader, long millis, Outcome outcome) {
        add(Leader.OTHER);
        long endNanos = ARRIVAL_NANOS + millis * 1_000_000;
        assertEquals(List.of(), mReads.end(endNanos - 1, ARRIVAL_NANOS - 1, leader));
        assertEquals(
                List.of(new Ended<>("r", outcome)),
                mReads.end(endNanos, ARRIVAL_NANOS - 1, leader));
    }

    /** Guards against reads that keep the link of the leader full, as all are passed on to it. */
    @Test
    void readsGoToTheLeaderSeldom() {
        long nowNanos = ARRIVAL_NANOS;
        int redirected = 0;
        for (int i = 0; i < 16; i++) {
            assertNull(mReads.add(nowNanos, "r" + i, Leader.OTHER, true));
            nowNanos += 1_000_000_000;
            Outcome outcome = mReads.end(nowNanos, null, Leader.OTHER).get(0).outcome();
            redirected += outcome == Outcome.REDIRECT ? 1 : 0;
        }
        assertEquals(2, redirected);
    }

    /** Guards against reads of many callers that take the memory of the port. */
    @ParameterizedTest
    @EnumSource(Leader.class)
    void waitingReadsAreBounded(Leader leader) {
        for (int i = 0; i < WaitingReads.MAX_READS; i++) {
            assertNull(mReads.add(ARRIVAL_NANOS, "r" + i, leader, true));
        }
        assertEquals(Outcome.REFUSE, mReads.add(ARRIVAL_NANOS, "one more", leader, true));
        mReads.remove("r0");
        assertNull(mReads.add(ARRIVAL_NANOS, "one more", leader, true));
    }

    /** Guards against a wait at a controller whose state is not confirmed soon. */
    @Test
    void controllerThatCannotBeConfirmedRedirectsAtOnce() {
        assertEquals(Outcome.REDIRECT, mReads.add(ARRIVAL_NANOS, "r", Leader.OTHER, false));
        assertNull(mReads.add(ARRIVAL_NANOS, "r", Leader.NONE, false));
    }
}
