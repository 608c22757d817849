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

    private final CountDownLatch mAllHere = new CountDownLatch(CALLERS);

    /** Start of a large fleet: guards against calls that are lost because many come at once. */
    @Test
    void callsOfManyInstancesAreAnswered() {
        Peer.Iface handler =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, args) -> abandoned());
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        List<PeerClient> clients = new ArrayList<>();
        try (PeerServer server = PeerServer.open(any, handler, null)) {
            String address = "127.0.0.1:" + server.address().getPort();
            List<CompletableFuture<Boolean>> replies = new ArrayList<>();
            for (int i = 0; i < CALLERS; i++) {
                PeerClient client = PeerClient.create(address, null, cause -> {});
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

    private boolean abandoned() throws InterruptedException {
        mAllHere.countDown();
        return mAllHere.await(2, TimeUnit.SECONDS);
    }
}
