package org.hemlockrack.daemon.peer;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TSocket;
import org.apache.thrift.transport.TTransportException;
import org.apache.thrift.transport.layered.TFramedTransport;
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

    /**
     * Guards against connections that are never read again after a call of theirs found no free
     * thread: whoever sends one-way messages, which have no reply, writes into them for ever.
     */
    @Test
    void connectionWithoutAFreeThreadIsClosed() throws Exception {
        CountDownLatch released = new CountDownLatch(1);
        CountDownLatch allThreadsBusy = new CountDownLatch(PeerServer.MAX_WORKERS);
        Peer.Iface handler =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, args) -> {
                                    allThreadsBusy.countDown();
                                    return released.await(60, TimeUnit.SECONDS);
                                });
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        List<TSocket> sockets = new ArrayList<>();
        try (PeerServer server = PeerServer.open(any, handler, null)) {
            for (int i = 0; i < PeerServer.MAX_WORKERS; i++) {
                sockets.add(sendCall(server));
            }
            assertTrue(allThreadsBusy.await(30, TimeUnit.SECONDS));
            TSocket excess = sendCall(server);
            sockets.add(excess);
            excess.setTimeout(10_000);
            TTransportException end =
                    assertThrows(
                            TTransportException.class, () -> excess.readAll(new byte[1], 0, 1));
            assertEquals(TTransportException.END_OF_FILE, end.getType(), end.toString());
        } finally {
            released.countDown();
            sockets.forEach(TSocket::close);
        }
    }

    private static TSocket sendCall(PeerServer server) throws TException {
        TSocket socket = new TSocket("127.0.0.1", server.address().getPort(), 60_000);
        socket.open();
        new Peer.Client(new TCompactProtocol(new TFramedTransport(socket))).send_abandoned("a");
        return socket;
    }
}
