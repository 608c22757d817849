package org.hemlockrack.control;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.HashMap;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

class TableSendsTest {
    private static final int HALF_BYTES = TableSends.MAX_UNCONFIRMED_BYTES / 2;

    /** Guards against a link that is full of tables while heartbeats wait behind them. */
    @Test
    void tablesThatHaveNotArrivedAreBounded() {
        TableSends sends = TableSends.create();
        assertTrue(sends.tryStart(0, "a", HALF_BYTES, false));
        assertTrue(sends.tryStart(0, "b", HALF_BYTES, false));
        assertFalse(sends.tryStart(0, "c", 1, false));
        sends.confirm("a");
        assertTrue(sends.tryStart(0, "c", HALF_BYTES, false));
    }

    /** Guards against a leader that sends as many tables as others, beside the entries. */
    @Test
    void leaderSendsHalfAsMany() {
        TableSends sends = TableSends.create();
        assertTrue(sends.tryStart(0, "a", HALF_BYTES, true));
        assertFalse(sends.tryStart(0, "b", 1, true));
        assertTrue(sends.tryStart(0, "b", 1, false));
        sends.confirm("a");
        assertTrue(sends.tryStart(0, "c", HALF_BYTES - 1, true));
    }

    /** Guards against a table that is longer than the bound and never sent. */
    @Test
    void tableThatIsLongerThanTheBoundIsSentAlone() {
        TableSends sends = TableSends.create();
        assertTrue(sends.tryStart(0, "a", 3L * HALF_BYTES, false));
        assertFalse(sends.tryStart(0, "b", 1, false));
        sends.confirm("a");
        assertTrue(sends.tryStart(0, "b", 3L * HALF_BYTES, false));
    }

    /** Guards against gateways that have gone and block the tables of all others for good. */
    @Test
    void repliesThatAreNotConfirmedExpire() {
        TableSends sends = TableSends.create();
        assertTrue(sends.tryStart(0, "a", 2L * HALF_BYTES, false));
        assertFalse(sends.tryStart(TimeUnit.MILLISECONDS.toNanos(299), "b", 1, false));
        assertTrue(sends.tryStart(TimeUnit.MILLISECONDS.toNanos(300), "b", 1, false));
    }

    /** Guards against a bound that any order of requests and confirmations exceeds. */
    @ParameterizedTest
    @ValueSource(longs = {1, 2, 3, 4, 5, 6, 7, 8})
    void unconfirmedBytesNeverExceedTheBound(long seed) {
        SplittableRandom random = new SplittableRandom(seed);
        TableSends sends = TableSends.create();
        Map<String, Long> bytesByReceiver = new HashMap<>();
        for (int i = 0; i < 2_000; i++) {
            String receiver = "gateway-" + random.nextInt(87);
            sends.confirm(receiver);
            bytesByReceiver.remove(receiver);
            long before = bytesByReceiver.values().stream().mapToLong(Long::longValue).sum();
            long bytes = 1 + random.nextInt(HALF_BYTES);
            boolean fits = before + bytes <= TableSends.MAX_UNCONFIRMED_BYTES;
            // All requests arrive at once, so that nothing expires.
            boolean isSent = sends.tryStart(0, receiver, bytes, false);
            assertTrue(isSent == fits, "request " + i + " after " + before + " bytes");
            if (isSent) {
                bytesByReceiver.put(receiver, bytes);
            }
        }
    }
}
