package org.hemlockrack.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.charset.StandardCharsets;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.junit.jupiter.api.Test;

class ParseMemoryTest {
    private static final long LIMIT_BYTES = 1 << 20;

    private final ParseMemory mMemory = ParseMemory.of(LIMIT_BYTES);

    private static byte[] emptyArrays(int count) {
        return ("[" + "[],".repeat(count) + "[]]").getBytes(StandardCharsets.US_ASCII);
    }

    private ErrorKind refusalOf(byte[] text) {
        return assertThrows(HemlockrackException.class, () -> mMemory.reserveTree(text)).kind();
    }

    /** Guards against a text whose tree is larger than what may ever be parsed. */
    @Test
    void textThatNeverFitsIsTooLarge() {
        assertEquals(ErrorKind.BODY_TOO_LARGE, refusalOf(emptyArrays(10_000)));
        assertEquals(0, mMemory.reservedBytes());
        assertEquals(1, mMemory.refusals());
    }

    /** Guards against many texts at once, each of which fits alone. */
    @Test
    void textThatDoesNotFitNowIsRefusedForNow() {
        byte[] text = emptyArrays(4_000);
        try (ParseMemory.Meter first = mMemory.reserveTree(text)) {
            assertEquals(ErrorKind.OVERLOADED, refusalOf(text));
        }
        mMemory.reserveTree(text).close();
        assertEquals(0, mMemory.reservedBytes());
    }

    /** Guards against a limit that a configuration with many routes meets. */
    @Test
    void estimateOfARouteIsCloseToItsTree() {
        String route =
                "{\"name\":\"many-1\",\"host\":\"many-1.example\",\"path_prefix\":\"/many-1/\","
                        + "\"type\":\"idempotent\",\"timeout_ms\":5000,\"target_latency_ms\":100,"
                        + "\"priority\":0,\"service\":\"s\",\"max_attempts\":2,\"public\":false}";
        long bytes = ParseMemory.treeBytes(route.getBytes(StandardCharsets.US_ASCII));
        assertTrue(bytes < 12L * route.length(), bytes + " for " + route.length());
    }
}
