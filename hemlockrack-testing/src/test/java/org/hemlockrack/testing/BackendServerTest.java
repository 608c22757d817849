package org.hemlockrack.testing;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.net.URI;
import java.net.http.HttpClient;
import java.net.http.HttpRequest;
import java.net.http.HttpResponse;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.atomic.AtomicLong;
import java.util.regex.Matcher;
import java.util.regex.Pattern;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.HttpLimits;
import org.hemlockrack.daemon.http.HttpPort;
import org.hemlockrack.daemon.http.Responder;
import org.junit.jupiter.api.Test;

class BackendServerTest {
    private static final long LEASE_MILLIS = 5_000;

    private static final Pattern SEQUENCE = Pattern.compile("\"sequence\":([0-9]+)");

    private final AtomicLong mLastSequence = new AtomicLong();
    private final HttpClient mClient = HttpClient.newHttpClient();
    private final CountDownLatch mAnnounced = new CountDownLatch(2);

    /**
     * Guards against running a request that its owner sent after its lease expired while suspended.
     */
    @Test
    void requestUnderExpiredLeaseIsNotRun() throws Exception {
        InetSocketAddress any = new InetSocketAddress("127.0.0.1", 0);
        try (HttpPort owner =
                HttpPort.open("owner", any, HttpLimits.internal(), this::handleAnnouncement)) {
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
                long sequence = mLastSequence.get();
                assertEquals(200, send(server, sequence));
                LocalFleet.sleep(LEASE_MILLIS + 100);
                assertEquals(421, send(server, sequence));
            }
        }
    }

    private void handleAnnouncement(HttpCall call, Responder responder) {
        Matcher sequence = SEQUENCE.matcher(call.bodyText());
        if (sequence.find()) {
            mLastSequence.set(Long.parseLong(sequence.group(1)));
        }
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
