package org.hemlockrack.dispatch;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.junit.jupiter.api.Test;

class ZoneReachabilityTest {
    private static final ZoneId ZONE = ZoneId.of("b");
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final ZoneReachability mZones = ZoneReachability.create();

    private void record(long nowNanos, int server, AttemptOutcome outcome) {
        Registration registration =
                new Registration(
                        BackendId.of("i-" + server),
                        1,
                        1,
                        ServiceId.of("s"),
                        "10.0.0." + server + ":80",
                        ZONE,
                        "v1",
                        1,
                        false,
                        0);
        mZones.recordOutcome(nowNanos, registration, outcome);
    }

    private void cut(long nowNanos) {
        for (int i = 1; i <= 3; i++) {
            record(nowNanos, i, AttemptOutcome.UNREACHABLE);
        }
    }

    /** Operators must see both ends of a suspension, also when nothing is sent to the zone. */
    @Test
    void suspensionIsReportedWhenItBeginsAndWhenItsTimeIsOver() {
        record(0, 1, AttemptOutcome.UNREACHABLE);
        record(0, 2, AttemptOutcome.UNREACHABLE);
        assertTrue(mZones.takeChanges(0).isEmpty());
        record(0, 3, AttemptOutcome.SILENT);
        assertEquals(1, mZones.suspendedCount(0));
        assertEquals(List.of(ZoneSuspension.begun(ZONE, 3)), mZones.takeChanges(0));
        record(SECOND / 2, 4, AttemptOutcome.UNREACHABLE);
        assertTrue(mZones.takeChanges(SECOND).isEmpty());
        assertEquals(
                List.of(ZoneSuspension.ended(ZONE, 3 * SECOND / 2)),
                mZones.takeChanges(2 * SECOND));
        assertEquals(0, mZones.suspendedCount(2 * SECOND));
        assertTrue(mZones.takeChanges(3 * SECOND).isEmpty());
    }

    /** Suspensions that end by an answer, or end and begin again, between two looks are kept. */
    @Test
    void shortSuspensionsAreReported() {
        cut(0);
        record(SECOND / 10, 1, AttemptOutcome.SERVED);
        cut(SECOND / 5);
        record(2 * SECOND, 1, AttemptOutcome.UNREACHABLE);
        assertEquals(
                List.of(
                        ZoneSuspension.begun(ZONE, 3),
                        ZoneSuspension.ended(ZONE, SECOND / 10),
                        ZoneSuspension.begun(ZONE, 3),
                        ZoneSuspension.ended(ZONE, SECOND),
                        ZoneSuspension.begun(ZONE, 3)),
                mZones.takeChanges(2 * SECOND));
    }
}
