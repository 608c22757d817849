package org.hemlockrack.capacity;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.CapacityData;
import org.junit.jupiter.api.Test;

class CapacityObservationsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final BackendId SERVER = BackendId.of("i-1");

    private final CapacityObservations mGateway = CapacityObservations.ofGateway();

    private PagedLog.Page<CapacityData> read(long nowNanos, long position) {
        return mGateway.readFrom(nowNanos, position, 16);
    }

    /** Guards against a message for each answer, and against repeats of what has not changed. */
    @Test
    void onlyChangesOfMergedFiguresArePassedOn() {
        for (int i = 0; i < 10; i++) {
            mGateway.recordDelay(0, SERVER, 1, 1.9 + i * 0.02);
            mGateway.recordWork(0, SERVER, 1, 204);
        }
        PagedLog.Page<CapacityData> first = read(0, -1);
        assertEquals(1, first.entries().size());
        CapacityData data = first.entries().get(0);
        assertEquals(200, data.getDelayPercent());
        assertEquals(10, data.getSamples());
        assertEquals(200, data.getWorkPercent());
        mGateway.recordDelay(SECOND, SERVER, 1, 2.1);
        assertEquals(List.of(), read(SECOND, first.next()).entries());
        mGateway.recordDelay(2 * SECOND, SERVER, 1, 4);
        PagedLog.Page<CapacityData> changed = read(2 * SECOND, first.next());
        assertEquals(400, changed.entries().get(0).getDelayPercent());
        mGateway.recordDelay(5 * SECOND, SERVER, 1, 4);
        assertEquals(1, read(5 * SECOND, changed.next()).entries().size());
    }

    /** Guards against old observations that look new, and against mixing incarnations. */
    @Test
    void agesAndIncarnationsArePassedOn() {
        CapacityObservations controller = CapacityObservations.ofController();
        mGateway.recordWork(0, SERVER, 1, 300);
        mGateway.recordWork(SECOND, SERVER, 2, 100);
        controller.recordAll(10 * SECOND, read(SECOND, -1).entries());
        List<CapacityData> merged = controller.readFrom(11 * SECOND, -1, 64).entries();
        assertEquals(2, merged.size());
        assertEquals(1, merged.get(0).getStartMillis());
        assertEquals(2_000, merged.get(0).getAgeMillis());
        assertEquals(1_000, merged.get(1).getAgeMillis());
        assertEquals(1, controller.readFrom(12 * SECOND + 1, -1, 64).entries().size());
    }

    /** Guards against messages that grow with the fleet: a late reader gets the newest entries. */
    @Test
    void pagesAreBounded() {
        for (int i = 0; i < 2_000; i++) {
            mGateway.recordWork(0, BackendId.of("i-" + i), 1, 100);
        }
        PagedLog.Page<CapacityData> page = read(0, -1);
        assertEquals(16, page.entries().size());
        assertTrue(read(0, page.next()).entries().isEmpty());
    }
}
