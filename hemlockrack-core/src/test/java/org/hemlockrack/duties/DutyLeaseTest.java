package org.hemlockrack.duties;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DutyLeaseTest {
    private static final long LEASE_MILLIS = 3_000;

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private static DutyLease heldSince(long millis, boolean followsOther) {
        DutyLease lease = DutyLease.create(LEASE_MILLIS, true);
        lease.recordConfirmation(nanos(millis), millis);
        lease.recordToken(nanos(millis), 7, followsOther);
        return lease;
    }

    /** Guards against a suspended holder whose monotonic clock stood still. */
    @Test
    void frozenHolderStopsByTheTimeOfDay() {
        DutyLease lease = heldSince(1_000, false);
        assertTrue(lease.mayAct(nanos(1_100), 1_100));
        assertFalse(lease.mayAct(nanos(1_100), 1_000 + LEASE_MILLIS));
    }

    /** Guards against a time of day that jumped back and would prolong the lease. */
    @Test
    void timeOfDayThatJumpsBackDoesNotProlong() {
        DutyLease lease = heldSince(10_000, false);
        assertTrue(lease.mayAct(nanos(11_000), 2_000));
        assertFalse(lease.mayAct(nanos(10_000 + LEASE_MILLIS), 2_000));
    }

    /** Guards against a wait of a new holder that a jump of the time of day shortens. */
    @Test
    void newHolderWaitsOnTheMonotonicClock() {
        DutyLease lease = heldSince(1_000, true);
        lease.recordConfirmation(nanos(2_000), 9_000);
        assertFalse(lease.mayAct(nanos(2_000), 9_000));
        lease.recordConfirmation(nanos(4_000), 11_000);
        assertTrue(lease.mayAct(nanos(4_000), 11_000));
    }

    /** Guards against calls after a refusal, and against a refusal that ends a newer token. */
    @Test
    void refusalEndsOnlyTheRefusedToken() {
        DutyLease lease = heldSince(1_000, false);
        lease.recordRefusal(6);
        assertTrue(lease.mayAct(nanos(1_000), 1_000));
        lease.recordRefusal(7);
        assertFalse(lease.mayAct(nanos(1_000), 1_000));
        lease.recordToken(nanos(1_500), 8, false);
        assertTrue(lease.mayAct(nanos(1_500), 1_500));
    }

    /** Guards against a holder that acts on after it has lost the leadership. */
    @Test
    void holderWithoutLeadershipStops() {
        DutyLease lease = heldSince(1_000, false);
        lease.revoke();
        assertFalse(lease.mayAct(nanos(1_000), 1_000));
        lease.recordToken(nanos(1_100), 7, false);
        assertFalse(lease.mayAct(nanos(1_100), 1_100));
    }
}
