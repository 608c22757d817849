package org.hemlockrack.daemon.replica;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.model.InstanceId;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class ProposerTest {
    private static final InstanceId SELF = InstanceId.of("i1");
    private static final long TIMEOUT_MILLIS = 300;

    /** Shorter than the read timeout of a connection to another instance. */
    private static final long MAX_ELAPSED_MILLIS = 2_000;

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final PeerNetwork mNetwork =
            PeerNetwork.create(SELF, Map.of(), null, (address, cause) -> {});

    @AfterEach
    void close() {
        mNetwork.close();
        mLoop.close();
    }

    /**
     * Guards against a proposal that waits for the read timeout of a silent voter, however short
     * its own timeout is.
     */
    @Test
    void silentVoterDoesNotExceedTheTimeout() throws IOException {
        try (ServerSocket silent = new ServerSocket(0, 8, InetAddress.getLoopbackAddress())) {
            String address = "127.0.0.1:" + silent.getLocalPort();
            Map<InstanceId, String> voters = Map.of(InstanceId.of("i2"), address);
            Proposer proposer = Proposer.create(mLoop, SELF, () -> voters, mNetwork, null);
            long startNanos = System.nanoTime();
            ProposalOutcome outcome = proposer.propose(new byte[] {1}, TIMEOUT_MILLIS).join();
            long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
            assertEquals(ProposalStatus.UNKNOWN, outcome.status());
            assertTrue(elapsedMillis < MAX_ELAPSED_MILLIS, "ended after " + elapsedMillis + " ms");
        }
    }
}
