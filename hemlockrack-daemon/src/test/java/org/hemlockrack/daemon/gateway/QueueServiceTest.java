package org.hemlockrack.daemon.gateway;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.capacity.SchedulingMode;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.dispatch.ServerPool;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.scheduling.Removal;
import org.hemlockrack.wire.ServiceUsageData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.WorkspaceUsageData;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class QueueServiceTest {
    private static final ServiceId SERVICE = ServiceId.of("llm");

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final QueueService mQueues = create(SchedulingMode.ON);

    @AfterEach
    void close() {
        mLoop.close();
    }

    private QueueService create(SchedulingMode mode) {
        GatewayState state =
                GatewayState.create(
                        ServerPool.create(ZoneId.of("a"), new SplittableRandom(1), mode));
        return QueueService.create(mLoop, state, Metrics.create(), new SplittableRandom(1));
    }

    /** Guards against reports with entries of only zeros, and against wrong numbers. */
    @Test
    void reportHasWhatRuns() {
        assertTrue(mQueues.recordStart(SERVICE, 1, "a"));
        mQueues.recordStart(SERVICE, 1, "a");
        mQueues.recordStart(SERVICE, 0, "b");
        mQueues.recordEnd(SERVICE, 0, "b", "chat", 0);
        assertEquals(
                List.of(new ServiceUsageData("llm", List.of(new WorkspaceUsageData(1, "a", 2, 0)))),
                mQueues.report("c1"));
    }

    /** Guards against reports of a gateway on which the feature is off. */
    @Test
    void nothingIsReportedWhileTheFeatureIsOff() {
        QueueService off = create(SchedulingMode.OFF);
        assertFalse(off.recordStart(SERVICE, 1, "a"));
        assertNull(off.report("c1"));
    }

    /** Guards against reports that grow with the number of workspaces. */
    @Test
    void reportsAreBounded() {
        for (int i = 0; i < 500; i++) {
            mQueues.recordStart(SERVICE, 0, "workspace-" + i);
        }
        assertEquals(64, mQueues.report("c1").get(0).getUsagesSize());
    }

    /**
     * Guards against less urgent requests that take the last slots while more urgent ones wait at
     * another gateway.
     */
    @Test
    void lessUrgentRequestsAreHeldBackForOtherGateways() {
        mQueues.recordStart(SERVICE, 1, "a");
        mQueues.report("c1");
        adopt(new WorkspaceUsageData(1, "a", 100, 0), new WorkspaceUsageData(0, "b", 0, 3));
        mQueues.recordFull(SERVICE);
        assertFalse(mQueues.mayStart(SERVICE, 1, "a"));
        assertTrue(mQueues.mayStart(SERVICE, 0, "c"));
        mQueues.report("c1");
        adopt(new WorkspaceUsageData(1, "a", 96, 0), new WorkspaceUsageData(0, "b", 0, 3));
        assertTrue(mQueues.mayStart(SERVICE, 1, "a"));
        adopt(new WorkspaceUsageData(1, "a", 100, 0));
        assertTrue(mQueues.mayStart(SERVICE, 1, "a"));
    }

    /** Guards against refusals whose reason is not told, or that do not say that nothing ran. */
    @Test
    void refusalsSayThatTheRequestHasNotRun() {
        for (Removal.Reason reason : Removal.Reason.values()) {
            WaitReport wait = new WaitReport(WaitReport.Cause.NO_FREE_SLOT, 1, "", 0, 0);
            QueueService.Refusal refusal = new QueueService.Refusal(reason, wait, 0, 1);
            assertEquals(503, refusal.kind().httpStatus());
            assertTrue(refusal.kind().isRetryable());
            assertTrue(refusal.cause().contains(reason.name()));
            assertEquals(1, refusal.retryMillis());
        }
    }

    private void adopt(WorkspaceUsageData... sums) {
        SyncReply reply = new SyncReply();
        reply.setFleetUsages(List.of(new ServiceUsageData("llm", List.of(sums))));
        reply.setUsageGateways(20);
        mQueues.adopt("c1", reply);
    }
}
