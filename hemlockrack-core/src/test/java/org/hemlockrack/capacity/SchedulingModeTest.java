package org.hemlockrack.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.junit.jupiter.api.Test;

class SchedulingModeTest {
    private static final ZoneId ZONE = ZoneId.of("a");
    private static final ServiceId SERVICE = ServiceId.of("s");
    private static final Registration SERVER =
            new Registration(
                    BackendId.of("i-1"), 1, 1, SERVICE, "10.0.0.1:80", ZONE, "v1", 4, false, 0);

    private static ServerPool pool(String mode) {
        return ServerPool.create(ZONE, new SplittableRandom(1), SchedulingMode.of(mode));
    }

    /** Guards against managing a service that earlier deployments have without being asked to. */
    @Test
    void onlyTheFourthFigureEnablesTheReportedMode() {
        ServerPool pool = pool("reported");
        pool.recordReport(0, SERVER, new ReportedLoad(1, 0, 4, ReportedLoad.UNKNOWN));
        assertFalse(pool.isManaged(SERVICE));
        pool.recordReport(0, SERVER, new ReportedLoad(1, 0, 4, 100));
        assertTrue(pool.isManaged(SERVICE));
        assertFalse(pool.isManaged(ServiceId.of("other")));
    }

    /** Guards against a report that overrides the setting. */
    @Test
    void theOtherModesDoNotDependOnReports() {
        ServerPool off = pool("off");
        off.recordReport(0, SERVER, new ReportedLoad(1, 0, 4, 100));
        assertFalse(off.isManaged(SERVICE));
        assertTrue(pool("on").isManaged(SERVICE));
        assertEquals(SchedulingMode.ON, SchedulingMode.of("on"));
    }
}
