package org.hemlockrack.daemon.controller;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;

import java.util.List;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.junit.jupiter.api.Test;

class GatewayReportsTest {
    private final GatewayReports mReports = new GatewayReports();

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
