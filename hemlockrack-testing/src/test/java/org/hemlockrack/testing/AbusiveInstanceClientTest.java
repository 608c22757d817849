package org.hemlockrack.testing;

import java.net.InetSocketAddress;
import java.nio.file.Path;
import java.util.Map;
import javax.net.SocketFactory;
import org.apache.thrift.TException;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.daemon.settings.Settings;
import org.hemlockrack.daemon.tls.PemFiles;
import org.hemlockrack.daemon.tls.TestKeys;
import org.hemlockrack.daemon.tls.TlsKeys;
import org.hemlockrack.wire.Peer;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;
import org.junit.jupiter.api.parallel.Isolated;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.EnumSource;

/**
 * Crowds that send more than an instance can hold to its ports for operators, other instances and
 * peers. Guards against an instance that ends for want of memory, or serves nothing any more.
 */
@Isolated
class AbusiveInstanceClientTest {
    private static final int HEAP_MIB = 96;
    private static final int CLIENTS = 100;
    private static final int BODY_BYTES = 15_000_000;

    /** The limit of these ports is 16 MiB; each client stops after an eighth of it. */
    private static final String PART_OF_BODY = "x".repeat(2 << 20);

    @TempDir private Path mFolder;
    private final LocalFleet mFleet = LocalFleet.create();
    private final FleetClient mClient = FleetClient.create();
    private TlsKeys mKeys;
    private LocalFleet.Instance mInstance;

    @BeforeEach
    void start() throws Exception {
        PemFiles files = TestKeys.create(mFolder, "fleet", "fleet");
        mKeys = TestKeys.open(files);
        mInstance = mFleet.addInstance("i1", "a");
        mFleet.setInstanceHeap(HEAP_MIB + "m");
        mFleet.startInstances(
                1,
                """
                [http]
                max_body_bytes = 16777216
                [tls]
                mode = "on"
                certificate_file = "%s"
                key_file = "%s"
                trust_file = "%s"
                """
                        .formatted(files.certificate(), files.key(), files.trustedCertificates()));
        String operators = mInstance.operatorAddress();
        String first = mClient.initialConfiguration();
        mFleet.await(
                "configuration",
                60,
                () -> mClient.patchConfiguration(operators, 0, "first", first).status() == 200);
    }

    @AfterEach
    void stop() {
        mFleet.close();
        mKeys.close();
    }

    private static String head(String request) {
        return request + " HTTP/1.1\r\nHost: 127.0.0.1\r\nContent-Length: 16000000\r\n\r\n";
    }

    private void assertSurvives(SocketFactory sockets, String address, RequestCrowd.Script script)
            throws Exception {
        assertSurvives(sockets, address, CLIENTS, script);
    }

    /** Runs a crowd that stays connected while ordinary requests are sent. */
    private void assertSurvives(
            SocketFactory sockets, String address, int clients, RequestCrowd.Script script)
            throws Exception {
        InetSocketAddress target = Settings.toAddress(address);
        FleetProcess process = mInstance.process();
        ProcessHandle handle = ProcessHandle.of(process.pid()).orElseThrow();
        Path log = mFleet.folder().resolve(mInstance.id() + ".log");
        try (RequestCrowd crowd =
                RequestCrowd.start(
                        sockets, target.getHostString(), target.getPort(), clients, script)) {
            crowd.awaitRead();
            ProcessBounds.of(HEAP_MIB, clients).check(handle, log);
            mFleet.await("an answer to an operator", 30, this::answersOperator);
            mFleet.await("an answer to a peer", 30, this::answersPeer);
        }
        ProcessBounds.checkAlive(handle, log);
    }

    private boolean answersOperator() {
        String address = mInstance.operatorAddress();
        return mClient.send(address, "GET", "/operator/v1/status", Map.of(), "").status() == 200;
    }

    private boolean answersPeer() {
        try (PeerClient peer = PeerClient.create(mInstance.peerAddress(), mKeys)) {
            return peer.callAsync(AbusiveInstanceClientTest::ping).join();
        }
    }

    private static boolean ping(Peer.Client client) throws TException {
        client.ping();
        return true;
    }

    /** Guards against frames of 4 MiB that are announced to the peer port and not sent. */
    @Test
    void stalledFramesToThePeerPortWithTlsAreBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.peerAddress(),
                RequestCrowd.repeat("\0?\0\0", "x", 1_000, ""));
    }

    /** Guards against frames that stop just short of their end, which is 4 MiB. */
    @Test
    void incompleteFramesToThePeerPortWithTlsAreBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.peerAddress(),
                RequestCrowd.repeat("\0?\0\0", "x".repeat(0x3f0000 - 64), 1, ""));
    }

    @Test
    void stalledBodiesToTheOperatorsPortAreBounded() throws Exception {
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.operatorAddress(),
                RequestCrowd.repeat(head("PATCH /operator/v1/config"), PART_OF_BODY, 1, ""));
    }

    @Test
    void stalledBodiesToTheInternalPortAreBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.internalAddress(),
                RequestCrowd.repeat(head("POST /backend/v1/announce"), PART_OF_BODY, 1, ""));
    }

    /** The list of a short frame is announced with hundreds of millions of messages. */
    @Test
    void announcedListInAFrameWithTlsIsBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.peerAddress(),
                1,
                LargeMessages.emptyEnvelopes(500_000_000, 10));
    }

    @Test
    void frameOfManySmallMessagesWithTlsIsBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.peerAddress(),
                1,
                LargeMessages.emptyEnvelopes(4_000_000, 4_000_000));
    }

    @Test
    void announcementOfManySmallValuesIsBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.internalAddress(),
                1,
                LargeMessages.emptyArrays("POST /backend/v1/announce HTTP/1.1", "", BODY_BYTES));
    }

    @Test
    void cacheEventOfManySmallValuesIsBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.internalAddress(),
                1,
                LargeMessages.emptyArrays(
                        "POST /backend/v1/cache-events HTTP/1.1", "", BODY_BYTES));
    }

    @Test
    void rolloutOrderOfManySmallValuesIsBounded() throws Exception {
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.operatorAddress(),
                1,
                LargeMessages.emptyArrays("POST /operator/v1/rollouts HTTP/1.1", "", BODY_BYTES));
    }

    @Test
    void patchOfManySmallValuesIsBounded() throws Exception {
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.operatorAddress(),
                1,
                LargeMessages.emptyArrays("PATCH /operator/v1/config HTTP/1.1", "", BODY_BYTES));
    }

    @Test
    void chatOfManySmallValuesIsBounded() throws Exception {
        String request =
                "POST /v1/chat/completions HTTP/1.1\r\nAuthorization: Bearer "
                        + mClient.bearerKey();
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.callerAddress(),
                1,
                LargeMessages.emptyArrays(
                        request, "{\"model\":\"assistant\",\"messages\":", BODY_BYTES));
    }

    @Test
    void silentConnectionsToThePeerPortWithTlsAreBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.peerAddress(),
                600,
                ClientFault.SINGLE_BYTE.script("", 0));
    }

    @Test
    void connectionsToTheInternalPortWithOneByteAreBounded() throws Exception {
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.internalAddress(),
                1_000,
                ClientFault.SINGLE_BYTE.script("", 0));
    }

    @ParameterizedTest
    @EnumSource
    void faultsOnTheCallersPortAreBounded(ClientFault fault) throws Exception {
        String head = "POST /v1/chat/completions HTTP/1.1\r\nHost: 127.0.0.1\r\n";
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.callerAddress(),
                fault.script(head, PART_OF_BODY.length()));
    }

    @ParameterizedTest
    @EnumSource
    void faultsOnTheOperatorsPortAreBounded(ClientFault fault) throws Exception {
        String head = "PATCH /operator/v1/config HTTP/1.1\r\nHost: 127.0.0.1\r\n";
        assertSurvives(
                SocketFactory.getDefault(),
                mInstance.operatorAddress(),
                fault.script(head, PART_OF_BODY.length()));
    }

    @ParameterizedTest
    @EnumSource
    void faultsOnTheInternalPortAreBounded(ClientFault fault) throws Exception {
        String head = "POST /backend/v1/announce HTTP/1.1\r\nHost: 127.0.0.1\r\n";
        assertSurvives(
                mKeys.currentContext().getSocketFactory(),
                mInstance.internalAddress(),
                fault.script(head, PART_OF_BODY.length()));
    }
}
