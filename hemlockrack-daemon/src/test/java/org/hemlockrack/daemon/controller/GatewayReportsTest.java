package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.ServiceUsageData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.WorkspaceUsageData;
import org.jspecify.annotations.Nullable;
import org.junit.jupiter.api.Test;

class GatewayReportsTest {
    private static final long SECOND = TimeUnit.SECONDS.toNanos(1);

    private final GatewayReports mReports = new GatewayReports();

    /** Guards against sums that miss a gateway, or mix services, ranks or workspaces. */
    @Test
    void usagesAreSummedByServiceRankAndWorkspace() {
        record(0, "g1", usages("llm", usage(0, "a", 1, 2), usage(1, "a", 3, 0)));
        record(0, "g2", usages("llm", usage(0, "a", 10, 20)));
        record(0, "g3", null);
        SyncReply reply = replyAt(0);
        assertEquals(2, reply.getUsageGateways());
        assertEquals(1, reply.getFleetUsagesSize());
        List<WorkspaceUsageData> sums = reply.getFleetUsages().get(0).getUsages();
        assertEquals(List.of(usage(0, "a", 11, 22), usage(1, "a", 3, 0)), sums);
    }

    /** Guards against requests of a lost gateway that count for longer than four seconds. */
    @Test
    void usagesOfASilentGatewayAreDropped() {
        record(0, "g1", usages("llm", usage(0, "a", 1, 1)));
        record(3 * SECOND, "g2", usages("llm", usage(0, "a", 10, 1)));
        SyncReply reply = replyAt(5 * SECOND);
        assertEquals(1, reply.getUsageGateways());
        assertEquals(usage(0, "a", 10, 1), reply.getFleetUsages().get(0).getUsages().get(0));
    }

    /** Guards against replies that fill the link of a controller although nobody waits. */
    @Test
    void servicesWithoutWaitingRequestsHaveOneSum() {
        record(0, "g1", usages("llm", usage(0, "a", 1, 0), usage(1, "b", 3, 0)));
        record(0, "g2", usages("llm", usage(0, "b", 10, 0)));
        SyncReply reply = replyAt(0);
        assertEquals(List.of(usage(0, "*", 14, 0)), reply.getFleetUsages().get(0).getUsages());
    }

    /** Guards against replies that grow with the number of workspaces. */
    @Test
    void sumsAreBounded() throws TException {
        List<WorkspaceUsageData> many = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            many.add(usage(i % 3, "workspace-" + i, 1 + i, i));
        }
        record(0, "g1", List.of(new ServiceUsageData("llm", many)));
        SyncReply reply = replyAt(0);
        List<WorkspaceUsageData> sums = reply.getFleetUsages().get(0).getUsages();
        assertEquals(GatewayReports.MAX_USAGES, sums.size());
        assertEquals("workspace-999", sums.get(0).getWorkspace());
        int bytes =
                new TSerializer(new TCompactProtocol.Factory())
                        .serialize(reply.getFleetUsages().get(0))
                        .length;
        assertTrue(bytes <= 5_000, "bytes " + bytes);
    }

    private void record(long nowNanos, String sender, @Nullable List<ServiceUsageData> usages) {
        SyncRequest request = new SyncRequest();
        request.setSender(sender);
        request.setInFlight(List.of());
        request.setCounts(List.of());
        request.setUsages(usages);
        mReports.recordReport(nowNanos, request);
    }

    private SyncReply replyAt(long nowNanos) {
        SyncReply reply = new SyncReply();
        mReports.describeUsages(nowNanos, reply);
        return reply;
    }

    private static List<ServiceUsageData> usages(String service, WorkspaceUsageData... usages) {
        return List.of(new ServiceUsageData(service, List.of(usages)));
    }

    private static WorkspaceUsageData usage(int rank, String workspace, int running, int waiting) {
        return new WorkspaceUsageData(rank, workspace, running, waiting);
    }

    private SyncReply exchange(SyncRequest request) {
        SyncReply reply = new SyncReply();
        mReports.exchangeObservations(0, true, request, reply);
        return reply;
    }

    /**
     * Guards against gateways that learn nothing from each other, and against fields that a gateway
     * of an earlier version did not ask for.
     */
    @Test
    void observationsReachTheGatewaysThatAskForThem() {
        CapacityData seen = new CapacityData("i-1", 7);
        seen.setDelayPercent(200);
        seen.setSamples(3);
        SyncRequest earlierVersion = new SyncRequest();
        SyncRequest sender = new SyncRequest();
        sender.setCapacity(List.of(seen));
        assertFalse(exchange(sender).isSetCapacity());
        SyncRequest reader = new SyncRequest();
        reader.setCapacityPosition(0);
        SyncReply reply = exchange(reader);
        assertEquals(200, reply.getCapacity().get(0).getDelayPercent());
        assertEquals(7, reply.getCapacity().get(0).getStartMillis());
        reader.setCapacityPosition(reply.getCapacityPosition());
        assertFalse(exchange(reader).isSetCapacity());
        assertFalse(exchange(earlierVersion).isSetCapacityPosition());
    }
}
