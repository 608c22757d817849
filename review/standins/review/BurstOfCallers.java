package review;

import java.io.BufferedReader;
import java.io.IOException;
import java.io.InputStreamReader;
import java.nio.file.Path;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

/**
 * For 3 s a gateway has 1.7 times as many callers as usual, which is more connections than it has
 * descriptors for. Callers that come after the burst try to connect.
 */
public final class BurstOfCallers extends Case {
    private static final int USUAL_CALLERS = 2_450;
    private static final double BURST = 1.7;
    private static final int BURST_MILLIS = 3_000;

    /** After this time the gateway counts no longer as slowed by what clients do. */
    private static final int CHOKED_MILLIS = 5_000;

    /** The rule allows that no new connection is taken for so long. */
    private static final int CONTACT_MILLIS = 3_000;

    /** So many clients have to try. */
    private static final int NEW_CALLERS = 10;

    private static final int TRY_PERIOD_MILLIS = 300;

    private final AtomicInteger mTaken = new AtomicInteger();
    private final AtomicInteger mTried = new AtomicInteger();

    public static void main(String[] args) throws Exception {
        run(new BurstOfCallers(), args, 2);
    }

    @Override
    boolean play() throws Exception {
        for (int number = 1; number <= 3; number++) {
            addWorker("i-" + number, number, "app", 64);
        }
        awaitServing();
        Process usual = startSwarm("usual", USUAL_CALLERS);
        Thread.sleep(6_000);
        if (mTrouble) {
            Process burst = startSwarm("burst", (int) (USUAL_CALLERS * (BURST - 1)));
            Thread.sleep(BURST_MILLIS);
            stopSwarm(burst);
        }
        Thread.sleep(CHOKED_MILLIS + 1_000);
        for (int i = 0; i < NEW_CALLERS; i++) {
            Thread caller = new Thread(this::connectRepeatedly);
            caller.setDaemon(true);
            caller.start();
        }
        boolean ready = true;
        long endNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(2L * CONTACT_MILLIS);
        while (System.nanoTime() - endNanos < 0) {
            ready &= mFleet.isReady(1);
            Thread.sleep(500);
        }
        mRecord.say(
                "%d new callers made %d tries in %d ms, %d connections were taken; the gateway %s",
                NEW_CALLERS,
                mTried.get(),
                2 * CONTACT_MILLIS,
                mTaken.get(),
                ready ? "said all the time that it is ready" : "was not always ready");
        stopSwarm(usual);
        if (mTried.get() == 0) {
            throw new NotRun("nobody tried");
        }
        return ready && mTaken.get() == 0;
    }

    private void connectRepeatedly() {
        try {
            while (true) {
                mTried.incrementAndGet();
                try (Http.Kept connection =
                        new Http.Kept(Fleet.gatewayIp(1), mFleet.frontPort(), 1_000)) {
                    String id = "new-" + mTried.get();
                    Http.Message answer =
                            connection.call(
                                    "GET",
                                    "/look/" + id,
                                    clientFields(id, 2_000),
                                    new byte[0],
                                    2_000);
                    mRecord.line(
                            "new caller gets %s for %s", answer == null ? "-" : answer.status(), id);
                    mTaken.incrementAndGet();
                } catch (IOException e) {
                    mRecord.line("new caller: %s", e);
                }
                Thread.sleep(TRY_PERIOD_MILLIS);
            }
        } catch (InterruptedException e) {
            Thread.currentThread().interrupt();
        }
    }

    private Process startSwarm(String name, int clients) throws IOException {
        mRecord.line("%d %s callers come", clients, name);
        Process process =
                new ProcessBuilder(
                                Path.of(System.getProperty("java.home"), "bin", "java").toString(),
                                "-Xmx256m",
                                "-cp",
                                System.getProperty("java.class.path"),
                                Swarm.class.getName(),
                                name,
                                Fleet.gatewayIp(1),
                                Integer.toString(mFleet.frontPort()),
                                Integer.toString(clients))
                        .redirectErrorStream(true)
                        .start();
        Runtime.getRuntime().addShutdownHook(new Thread(process::destroyForcibly));
        return process;
    }

    private void stopSwarm(Process swarm) throws IOException, InterruptedException {
        swarm.getOutputStream().close();
        try (BufferedReader out =
                new BufferedReader(new InputStreamReader(swarm.getInputStream()))) {
            List<String> lines = out.lines().toList();
            lines.forEach(line -> mRecord.say("%s", line));
        }
        swarm.waitFor(10, TimeUnit.SECONDS);
        swarm.destroyForcibly();
    }
}
