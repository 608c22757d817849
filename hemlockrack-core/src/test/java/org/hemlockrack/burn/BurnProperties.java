package org.hemlockrack.burn;

import static org.junit.jupiter.api.Assertions.assertArrayEquals;
import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.List;
import java.util.OptionalLong;
import java.util.Random;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.burn.internal.BurnHtml;
import org.hemlockrack.burn.internal.Resolution;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

class BurnProperties {
    private static final long START = 1_800_000_000_000L;
    private static final WorkspaceId WORKSPACE = WorkspaceId.of("w");

    private record Request(long millis, @Nullable BurnCause cause) {}

    /**
     * Guards against requests that are lost or counted twice when rings reuse buckets: a window
     * must include all requests within it and none older than the window plus one bucket.
     */
    @Property(tries = 300)
    void countsAgreeWithOracle(@ForAll long seed) {
        assertEquals(List.of(), violations(seed, false));
    }

    /**
     * Guards against an oracle that does not notice lost requests: it must detect accounts that
     * miss every hundredth bad request.
     */
    @Example
    void uncountedRequestsAreDetected() {
        int caught = 0;
        for (long seed = 0; seed < 20; seed++) {
            caught += violations(seed, true).isEmpty() ? 0 : 1;
        }
        assertTrue(caught >= 15, "caught " + caught);
    }

    private static List<String> violations(long seed, boolean skipsRequests) {
        List<Request> requests = requests(new SplittableRandom(seed), 500);
        BurnAccounts accounts = BurnAccounts.create();
        int bad = 0;
        for (Request each : requests) {
            bad += each.cause() == null ? 0 : 1;
            if (!skipsRequests || each.cause() == null || bad % 100 != 0) {
                accounts.count(
                        each.millis(), WORKSPACE, LatencyIndicator.FIRST_TOKEN, each.cause());
            }
        }
        long now = requests.get(requests.size() - 1).millis();
        List<String> violations = new ArrayList<>();
        for (BurnWindows windows : BurnWindows.values()) {
            for (long window : List.of(windows.shortMillis(), windows.longMillis())) {
                BurnCounts counts =
                        accounts.counts(WORKSPACE, LatencyIndicator.FIRST_TOKEN, now, window);
                BurnCounts minimum = exactCounts(requests, now - window);
                long width = Resolution.finestCovering(window).widthMillis();
                BurnCounts maximum = exactCounts(requests, now - window - width);
                boolean withinBounds =
                        minimum.good() <= counts.good()
                                && counts.good() <= maximum.good()
                                && minimum.bad() <= counts.bad()
                                && counts.bad() <= maximum.bad();
                if (!withinBounds) {
                    violations.add("seed " + seed + " window " + window + ": " + counts);
                }
            }
        }
        return violations;
    }

    private static BurnCounts exactCounts(List<Request> requests, long afterMillis) {
        long good = 0;
        long bad = 0;
        for (Request each : requests) {
            if (each.millis() > afterMillis) {
                good += each.cause() == null ? 1 : 0;
                bad += each.cause() == null ? 0 : 1;
            }
        }
        return new BurnCounts(good, bad);
    }

    private static List<Request> requests(SplittableRandom random, int number) {
        List<Request> requests = new ArrayList<>();
        long millis = START + random.nextLong(TimeUnit.DAYS.toMillis(1));
        for (int i = 0; i < number; i++) {
            long pause = random.nextInt(50) == 0 ? TimeUnit.HOURS.toMillis(12) : 600_000;
            millis += random.nextLong(pause);
            boolean good = random.nextInt(4) > 0;
            BurnCause cause = BurnCause.values()[random.nextInt(BurnCause.values().length)];
            requests.add(new Request(millis, good ? null : cause));
        }
        return requests;
    }

    /** Guards against merges that depend on their order, and encodings that lose counts. */
    @Property(tries = 100)
    void mergesAreOrderIndependentAndSurviveEncoding(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BurnAccounts all = BurnAccounts.create();
        List<BurnAccounts> parts = new ArrayList<>();
        for (int i = 0; i < 5; i++) {
            parts.add(BurnAccounts.create());
        }
        for (Request each : requests(random, 300)) {
            LatencyIndicator indicator = LatencyIndicator.values()[random.nextInt(3)];
            WorkspaceId workspace = WorkspaceId.of("w" + random.nextInt(3));
            all.count(each.millis(), workspace, indicator, each.cause());
            parts.get(random.nextInt(5)).count(each.millis(), workspace, indicator, each.cause());
        }
        for (int i = 0; i < 3; i++) {
            BurnAccounts merged = BurnAccounts.create();
            Collections.shuffle(parts, new Random(seed + i));
            parts.forEach(part -> merged.merge(BurnAccounts.decode(part.encode())));
            assertArrayEquals(all.encode(), merged.encode());
        }
    }

    /** Guards against accepting a damaged or truncated file. */
    @Property(tries = 200)
    void damagedBytesAreRefused(@ForAll long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        BurnAccounts accounts = BurnAccounts.create();
        accounts.count(START, WORKSPACE, LatencyIndicator.FIRST_TOKEN, null);
        byte[] bytes = accounts.encode();
        byte[] torn = Arrays.copyOf(bytes, random.nextInt(bytes.length));
        bytes[random.nextInt(bytes.length)] ^= (byte) (1 << random.nextInt(8));
        assertThrows(HemlockrackException.class, () -> BurnAccounts.decode(bytes));
        assertThrows(HemlockrackException.class, () -> BurnAccounts.decode(torn));
    }

    /**
     * Guards against an encoding above its limit with more workspaces than accounts and, in each
     * hour, a miss of each indicator for a random cause.
     */
    @Example
    void encodingStaysWithinItsLimit() {
        BurnAccounts accounts = BurnAccounts.create();
        SplittableRandom random = new SplittableRandom(1);
        for (int workspace = 0; workspace < 2_100; workspace++) {
            for (int hour = 0; hour < 73; hour++) {
                long millis = START + TimeUnit.HOURS.toMillis(hour);
                BurnCause cause = BurnCause.values()[random.nextInt(7)];
                for (LatencyIndicator indicator : LatencyIndicator.values()) {
                    accounts.count(millis, WorkspaceId.of("w" + workspace), indicator, cause);
                }
            }
        }
        byte[] bytes = accounts.encode();
        System.out.println("burn bytes of 2001 workspaces with misses each hour=" + bytes.length);
        assertTrue(bytes.length <= BurnAccounts.MAX_ENCODED_BYTES);
        assertTrue(BurnAccounts.decode(bytes).series().size() > 1_000);
        assertEquals(2_001, accounts.series().size());
    }

    /** Guards against counting a miss as met, and against the wrong cause. */
    @Example
    void indicatorsAndCausesFollowTheRequest() {
        LatencyObjective objective = new LatencyObjective(700, 30, 5_000, 0.95);
        LatencySample incomplete =
                new LatencySample(
                        OptionalLong.of(700), OptionalLong.of(31), OptionalLong.of(900), false);
        assertTrue(incomplete.meets(LatencyIndicator.FIRST_TOKEN, objective));
        assertFalse(incomplete.meets(LatencyIndicator.BETWEEN_TOKENS, objective));
        assertFalse(incomplete.meets(LatencyIndicator.WHOLE_ANSWER, objective));
        assertFalse(LatencySample.failed().isSubjectTo(LatencyIndicator.BETWEEN_TOKENS));
        assertEquals(
                BurnCause.QUEUE,
                BurnCause.of(new MissContext(false, false, false, false, 6, 10, true)));
        assertEquals(
                BurnCause.COLD_START,
                BurnCause.of(new MissContext(false, false, true, true, 6, 10, true)));
        BurnAccounts accounts = BurnAccounts.create();
        MissContext context = new MissContext(true, false, false, false, 0, 0, false);
        accounts.count(START, WORKSPACE, objective, LatencySample.failed(), context);
        assertEquals(
                new BurnCounts(0, 1),
                accounts.counts(WORKSPACE, LatencyIndicator.FIRST_TOKEN, START, 300_000));
    }

    /** Guards against wrong rates, a page that loads other resources, and unescaped names. */
    @Example
    void reportShowsRatesAndEscapesNames() {
        BurnAccounts accounts = BurnAccounts.create();
        for (int i = 0; i < 10; i++) {
            BurnCause cause = i < 5 ? BurnCause.ZONE : null;
            accounts.count(START + i, WORKSPACE, LatencyIndicator.FIRST_TOKEN, cause);
        }
        BurnReport report = BurnReport.of(accounts, workspace -> 0.95, START + 10);
        assertEquals(10, report.rows().get(0).windows().get(0).shortRate(), 1e-9);
        assertFalse(report.rows().get(0).windows().get(0).isAlerting());
        assertTrue(report.rows().get(0).windows().get(1).isAlerting());
        assertTrue(report.toTable().contains("zone 100%"));
        assertTrue(report.toJson().contains("\"cause\" : \"zone\""));
        String html = report.toHtml();
        assertTrue(html.contains("<svg") && html.contains("<rect"));
        assertFalse(html.contains("http") || html.contains("src=") || html.contains("<script"));
        assertEquals("a&lt;b", BurnHtml.escape("a<b"));
    }
}
