package org.hemlockrack.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.wire.Peer;
import org.junit.jupiter.api.Test;

class PeerServerTest {
    private static final int CALLERS = 100;

    private final CountDownLatch mAllCallsReceived = new CountDownLatch(CALLERS);

    /**
     * Guards against lost calls when all instances of a large fleet call at once, as at its start.
     */
    @Test
    void simultaneousCallsAreAllAnswered() {
        Peer.Iface handler =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, args) -> awaitAllCalls());
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        List<PeerClient> clients = new ArrayList<>();
        try (PeerServer server = PeerServer.open(any, handler, null)) {
            String address = "127.0.0.1:" + server.address().getPort();
            List<CompletableFuture<Boolean>> replies = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                PeerClient client = PeerClient.create(address, null);
                clients.add(client);
                replies.add(client.callAsync(peer -> peer.abandoned("a")));
            }
            long answered =
                    replies.stream()
                            .filter(reply -> reply.exceptionally(e -> false).join())
                            .count();
            assertEquals(CALLERS, answered);
        } finally {
            clients.forEach(PeerClient::close);
        }
    }

    /** Blocks each call until all calls are being handled at the same time. */
    private boolean awaitAllCalls() throws InterruptedException {
        mAllCallsReceived.countDown();
        return mAllCallsReceived.await(2, TimeUnit.SECONDS);
    }
}
