package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.junit.jupiter.api.Test;

class DutyReportsTest {
    private static final long WALL_MILLIS = 1_000_000;

    private final DutyReports mReports = DutyReports.create(ZoneId.of("a"));

    private static long nanos(long millis) {
        return TimeUnit.MILLISECONDS.toNanos(millis);
    }

    private void receive(long nowMillis, String address, long token) {
        SyncReply reply = new SyncReply();
        reply.setWallMillis(WALL_MILLIS + nowMillis);
        reply.setUsageIntervalMillis(5_000);
        if (token > 0) {
            reply.setUsageToken(token);
        }
        mReports.recordReply(nanos(nowMillis), address, reply, nanos(nowMillis));
    }

    private SyncRequest request(long nowMillis, String address) {
        SyncRequest request = new SyncRequest();
        mReports.describe(nanos(nowMillis), address, request);
        return request;
    }

    private void count(long nowMillis, int requests) {
        for (int i = 0; i < requests; i++) {
            mReports.recordBegun(nanos(nowMillis), "w");
        }
    }

    /** Guards against traffic and memory in fleets that are not metered. */
    @Test
    void nothingIsReportedWithoutMetering() {
        mReports.recordReply(nanos(1), "a", new SyncReply(), nanos(1));
        count(2, 3);
        assertFalse(request(3, "a").isSetUsage());
        assertFalse(mReports.hasUnreported());
    }

    /** Guards against counts sent to several controllers or more than once a second. */
    @Test
    void onlyTheHolderGetsReportsOnceASecond() {
        receive(0, "a", 0);
        receive(0, "b", 4);
        count(10, 2);
        assertFalse(request(20, "a").isSetUsage());
        SyncRequest first = request(20, "b");
        assertEquals(Map.of("w", 2L), first.getUsage().get(0).getCounts());
        assertEquals(WALL_MILLIS + 20 - 100, first.getUsageThroughMillis());
        receive(30, "b", 4);
        count(40, 1);
        assertFalse(request(500, "b").isSetUsage());
        assertEquals(Map.of("w", 3L), request(1_020, "b").getUsage().get(0).getCounts());
        receive(1_030, "b", 4);
        assertTrue(request(2_020, "b").getUsage().isEmpty());
        assertFalse(mReports.hasUnreported());
    }

    /** Guards against counts that are lost with a request or a holder. */
    @Test
    void lostReportAndNewHolderGetEverything() {
        receive(0, "a", 1);
        count(10, 2);
        assertTrue(request(20, "a").isSetUsage());
        // No reply arrives.
        assertEquals(1, request(1_020, "a").getUsage().size());
        receive(1_030, "a", 1);
        receive(2_000, "b", 2);
        receive(2_000, "a", 1);
        assertFalse(request(2_100, "a").isSetUsage());
        assertEquals(Map.of("w", 2L), request(2_100, "b").getUsage().get(0).getCounts());
    }

    /** Guards against refusals that are sent to every controller or to none. */
    @Test
    void onlyTheHolderOfAutoscalingGetsRefusals() {
        mReports.recordRefused(ServiceId.of("s"));
        SyncReply wants = new SyncReply();
        wants.setWantsDemand(true);
        mReports.recordReply(nanos(1), "a", wants, nanos(1));
        assertFalse(request(2, "b").isSetRefused());
        assertEquals(Map.of("s", 1L), request(2, "a").getRefused());
        assertEquals("a", request(2, "a").getZone());
        mReports.recordReply(nanos(3), "a", new SyncReply(), nanos(3));
        assertFalse(request(4, "a").isSetRefused());
    }

    /** Guards against counts that a planned stop leaves behind. */
    @Test
    void stopReportsAtOnce() {
        receive(0, "a", 1);
        assertTrue(request(10, "a").isSetUsage());
        receive(20, "a", 1);
        count(30, 1);
        mReports.reportAtOnce();
        assertEquals(1, request(40, "a").getUsage().size());
        assertTrue(mReports.hasUnreported());
        receive(50, "a", 1);
        assertFalse(mReports.hasUnreported());
    }
}
