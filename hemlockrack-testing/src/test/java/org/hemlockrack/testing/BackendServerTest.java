package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.Responder;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private static final long LEASE_MILLIS = 1_000;

    private final HttpClient mClient = HttpClient.newHttpClient();
    private final CountDownLatch mAnnounced = new CountDownLatch(2);

    /** Guards against a request that its owner sent after it was stopped past its lease. */
    @Test
    void lapsedAdmissionIsNotRun() throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (HttpPort owner = HttpPort.open("owner", any, HttpLimits.internal(), this::take)) {
            String announceTo = "127.0.0.1:" + owner.address().getPort();
            String[] args = {
                "--id",
                "b",
                "--service",
                "s",
                "--zone",
                "a",
                "--kind",
                "plain",
                "--announce",
                announceTo
            };
            try (BackendServer server = BackendServer.open(BackendOptions.parse(args))) {
                mAnnounced.await();
                assertEquals(200, send(server, 1));
                Fleet.pause(LEASE_MILLIS + 100);
                assertEquals(421, send(server, 1));
            }
        }
    }

    private void take(HttpCall call, Responder responder) {
        mAnnounced.countDown();
        responder.sendJson(200, "{\"owner\":\"o\",\"lease_ms\":" + LEASE_MILLIS + "}");
    }

    private int send(BackendServer server, long sequence) throws IOException, InterruptedException {
        HttpRequest request =
                HttpRequest.newBuilder(URI.create("http://" + server.address() + "/x"))
                        .header("X-Admission-Sequence", Long.toString(sequence))
                        .POST(HttpRequest.BodyPublishers.ofString("command"))
                        .build();
        return mClient.send(request, HttpResponse.BodyHandlers.discarding()).statusCode();
    }
}
