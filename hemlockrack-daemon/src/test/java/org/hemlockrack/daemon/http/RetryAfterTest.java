package org.hemlockrack.daemon.http;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.time.Instant;
import java.util.Arrays;
import java.util.List;
import org.junit.jupiter.api.Test;

class RetryAfterTest {
    private static final Instant NOW = Instant.parse("2026-12-05T12:00:00Z");

    private static long parse(String... values) {
        List<HeaderField> fields =
                Arrays.stream(values).map(value -> HeaderField.of("retry-after", value)).toList();
        return RetryAfter.parseMillis(fields, NOW);
    }

    /** Guards against a rest that is misread, and a field that ends a request. */
    @Test
    void everyFormHasAMeaning() {
        assertEquals(RetryAfter.NONE, parse());
        assertEquals(3_000, parse("3"));
        assertEquals(1_500, parse(" 1.5 "));
        assertEquals(0, parse("-4"));
        assertEquals(10_000, parse("Sat, 05 Dec 2026 12:00:10 GMT"));
        assertEquals(0, parse("Sat, 05 Dec 2026 11:00:00 GMT"));
        assertEquals(5_000, parse("2", "soon", "5"));
        for (String value : List.of("", "soon", "1e9", "NaN", "0x10", "9".repeat(400), "1,2")) {
            assertEquals(RetryAfter.NONE, parse(value), value);
        }
    }
}
