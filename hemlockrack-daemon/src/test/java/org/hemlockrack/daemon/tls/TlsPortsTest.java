package org.hemlockrack.daemon.tls;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertNotSame;
import static org.junit.jupiter.api.Assertions.assertSame;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.lang.reflect.Proxy;
import java.net.InetSocketAddress;
import java.net.Socket;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.attribute.FileTime;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CopyOnWriteArrayList;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;
import javax.net.ssl.SSLContext;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.daemon.peer.PeerExecutors;
import org.hemlockrack.daemon.peer.PeerMessenger;
import org.hemlockrack.daemon.peer.PeerServer;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.RequestMemory;
import org.hemlockrack.wire.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.Timeout;
import org.junit.jupiter.api.io.TempDir;

/** Tests which clients can use the internal port and the peer port with TLS. */
@Timeout(value = 120, threadMode = Timeout.ThreadMode.SEPARATE_THREAD)
class TlsPortsTest {
    private static final InetSocketAddress ANY = new InetSocketAddress("127.0.0.1", 0);

    private final AtomicInteger mCalls = new AtomicInteger();
    private final List<AutoCloseable> mResources = new ArrayList<>();

    @TempDir private Path mFolder;
    private PemFiles mFiles;
    private TlsKeys mKeys;

    @BeforeEach
    void open() throws Exception {
        mFiles = TestKeys.create(mFolder, "fleet", "fleet");
        mKeys = closeAfterTest(TestKeys.open(mFiles));
    }

    @AfterEach
    void close() throws Exception {
        for (AutoCloseable resource : mResources) {
            resource.close();
        }
    }

    private <T extends AutoCloseable> T closeAfterTest(T resource) {
        mResources.add(resource);
        return resource;
    }

    /** Creates keys that trust the fleet, but whose certificate the fleet does not trust. */
    private TlsKeys untrustedKeys() throws Exception {
        return closeAfterTest(TestKeys.open(TestKeys.create(mFolder, "stranger", "fleet")));
    }

    private HttpPort openPort() {
        return closeAfterTest(
                HttpPort.open(
                        "test",
                        ANY,
                        HttpLimits.internal(),
                        RequestMemory.of(1 << 20, 1_000),
                        (call, responder) -> {
                            mCalls.incrementAndGet();
                            responder.send(200, List.of(), call.body());
                        },
                        MutualTlsStrategy.of(mKeys)));
    }

    /** Sends a request and returns the HTTP status, or 0 if the exchange failed. */
    private int post(HttpPort port, HttpClient client, String body) throws InterruptedException {
        AtomicInteger status = new AtomicInteger();
        CountDownLatch done = new CountDownLatch(1);
        client.send(
                "127.0.0.1:" + port.address().getPort(),
                "POST",
                "/",
                List.of(),
                body.getBytes(StandardCharsets.UTF_8),
                new UpstreamListener() {
                    @Override
                    public boolean beforeSend() {
                        return true;
                    }

                    @Override
                    public void onHead(int code, List<HeaderField> headers, long lengthBytes) {
                        status.set(code);
                    }

                    @Override
                    public void onBody(ByteBuffer data) {
                        data.position(data.limit());
                    }

                    @Override
                    public void onEnd() {
                        done.countDown();
                    }

                    @Override
                    public void onFailed(Exception cause, boolean mayHaveBeenSent) {
                        status.set(0);
                        done.countDown();
                    }
                });
        assertTrue(done.await(60, TimeUnit.SECONDS), "the call did not end");
        return status.get();
    }

    private HttpClient client(TlsKeys keys) {
        MutualTlsStrategy tls = keys == null ? null : MutualTlsStrategy.of(keys);
        return closeAfterTest(HttpClient.open(1, 10_000, 60_000, true, tls));
    }

    /**
     * Guards against rejected trusted clients, and against errors in bodies of many TLS records.
     */
    @Test
    void internalPortAcceptsTrustedClient() throws Exception {
        HttpPort port = openPort();
        HttpClient client = client(mKeys);
        assertEquals(200, post(port, client, "x".repeat(40_000)));
        assertEquals(200, post(port, client, "again"));
    }

    /** Guards against accepting requests of any client that can connect to the internal port. */
    @Test
    void internalPortRejectsUntrustedClients() throws Exception {
        HttpPort port = openPort();
        assertEquals(0, post(port, client(untrustedKeys()), "x"));
        assertEquals(0, post(port, client(null), "x"));
        assertEquals(0, mCalls.get());
        assertEquals(200, post(port, client(mKeys), "x"));
    }

    /** Guards against sending requests to a server whose certificate is not trusted. */
    @Test
    void clientRejectsUntrustedServer() throws Exception {
        HttpPort port = openPort();
        TlsKeys other = closeAfterTest(TestKeys.open(TestKeys.create(mFolder, "other", "other")));
        assertEquals(0, post(port, client(other), "x"));
        assertEquals(0, mCalls.get());
    }

    private PeerServer openPeer() {
        Peer.Iface handler =
                (Peer.Iface)
                        Proxy.newProxyInstance(
                                Peer.Iface.class.getClassLoader(),
                                new Class<?>[] {Peer.Iface.class},
                                (proxy, method, args) -> {
                                    mCalls.incrementAndGet();
                                    return method.getName().equals("abandoned");
                                });
        return closeAfterTest(PeerServer.open(ANY, handler, mKeys));
    }

    /** Makes a call and returns whether it was answered. */
    private boolean isCallAnswered(PeerServer server, TlsKeys keys) throws Exception {
        String address = "127.0.0.1:" + server.address().getPort();
        PeerClient client = closeAfterTest(PeerClient.create(address, keys));
        try {
            return client.callAsync(peer -> peer.abandoned("attempt")).get(60, TimeUnit.SECONDS);
        } catch (ExecutionException e) {
            return false;
        }
    }

    /**
     * Guards against connections with TLS that are given up although the peer answers, or that an
     * answer and a message break when they are read and written at the same time.
     */
    @Test
    void messagesWithTlsAreAnswered() throws Exception {
        PeerServer server = openPeer();
        List<String> events = new CopyOnWriteArrayList<>();
        ExecutorService answers = PeerExecutors.newAnswerExecutor();
        String address = "127.0.0.1:" + server.address().getPort();
        PeerMessenger messenger =
                closeAfterTest(
                        PeerMessenger.create(
                                address,
                                mKeys,
                                answers,
                                new PeerMessenger.Listener() {
                                    @Override
                                    public void onUnreachable(Exception cause) {
                                        events.add("unreachable: " + cause);
                                    }

                                    @Override
                                    public void onSilent(long limitMillis) {
                                        events.add("silent");
                                    }

                                    @Override
                                    public void onAnswering() {
                                        events.add("answering");
                                    }
                                }));
        for (int i = 0; i < 400; i++) {
            messenger.deliver(List.of());
            TimeUnit.MILLISECONDS.sleep(10);
        }
        answers.shutdown();
        assertEquals(List.of(), events);
        assertTrue(mCalls.get() > 400, mCalls.get() + " messages and probes");
    }

    /** Guards against accepting messages of any client that can connect to the peer port. */
    @Test
    void peerPortAcceptsOnlyTrustedClients() throws Exception {
        PeerServer server = openPeer();
        assertFalse(isCallAnswered(server, untrustedKeys()));
        assertFalse(isCallAnswered(server, null));
        assertEquals(0, mCalls.get());
        assertTrue(isCallAnswered(server, mKeys));
    }

    /** Guards against clients that connect, never start the handshake, and so block the peers. */
    @Test
    void connectionsWithoutHandshakeDoNotBlockPeers() throws Exception {
        PeerServer server = openPeer();
        for (int i = 0; i < 100; i++) {
            closeAfterTest(new Socket("127.0.0.1", server.address().getPort()));
        }
        assertTrue(isCallAnswered(server, mKeys));
    }

    /**
     * Guards against changed keys that apply only after a restart, and against an unusable file
     * that replaces the current keys.
     */
    @Test
    void reloadedKeysApplyToNewConnections() throws Exception {
        HttpPort port = openPort();
        SSLContext first = mKeys.currentContext();
        PemFiles next = TestKeys.create(mFolder, "next", "next");
        TlsKeys nextKeys = closeAfterTest(TestKeys.open(next));
        assertEquals(0, post(port, client(nextKeys), "x"));
        replace(next.certificate(), mFiles.certificate(), 1);
        replace(next.key(), mFiles.key(), 1);
        mKeys.reloadIfChanged(TlsPortsTest::failOnError);
        assertNotSame(first, mKeys.currentContext());
        assertEquals(200, post(port, client(nextKeys), "x"));

        SSLContext second = mKeys.currentContext();
        Files.writeString(mFiles.key(), "no key");
        Files.setLastModifiedTime(mFiles.key(), FileTime.fromMillis(3));
        List<Exception> failures = new ArrayList<>();
        mKeys.reloadIfChanged(failures::add);
        assertSame(second, mKeys.currentContext());
    }

    private static void replace(Path from, Path to, long time) throws IOException {
        Files.copy(from, to, StandardCopyOption.REPLACE_EXISTING);
        Files.setLastModifiedTime(to, FileTime.fromMillis(time));
    }

    private static void failOnError(Exception cause) {
        throw new IllegalStateException(cause);
    }

    /** Guards against an instance that starts with unusable keys and cannot connect to any peer. */
    @Test
    void unusableFilesAreASettingsError() throws Exception {
        Files.writeString(mFiles.key(), "no key");
        HemlockrackException e =
                assertThrows(HemlockrackException.class, () -> TestKeys.open(mFiles));
        assertEquals(ErrorKind.SETTINGS_INVALID, e.kind());
    }
}
