package org.hemlockrack.admission.internal;

import static org.junit.jupiter.api.Assertions.assertEquals;

import org.junit.jupiter.api.Test;

class ForeignLoadTest {
    private static final long REPORT_NANOS = 500_000_000L;

    private final ForeignLoad mLoad = new ForeignLoad();
    private long mNow;

    /** Reports before a handover must not hide the requests that the earlier owner left. */
    @Test
    void reportsBeforeHandoverAreDiscarded() {
        report(0);
        report(0);
        mLoad.addHandover(4);
        for (int i = 0; i < 6; i++) {
            report(3);
            assertEquals(i == 0 ? 4 : 3, mLoad.value(), "report " + i);
        }
    }

    /**
     * A report prepared before the last dispatches of the earlier owner arrived must not lower the
     * estimate.
     */
    @Test
    void reportWithoutHandedOverRequestsIsDiscarded() {
        mLoad.addHandover(4);
        report(1);
        assertEquals(4, mLoad.value());
        report(4);
        assertEquals(4, mLoad.value());
        report(4);
        assertEquals(4, mLoad.value());
        report(2);
        assertEquals(2, mLoad.value());
    }

    private void report(int inFlight) {
        mNow += REPORT_NANOS;
        mLoad.addReport(mNow, inFlight);
    }
}
