package org.hemlockrack.daemon.http;

import java.time.DateTimeException;
import java.time.Instant;
import java.time.format.DateTimeFormatter;
import java.util.List;

/** Reads the Retry-After field. */
public final class RetryAfter {
    /** Returned if there is no field that can be read. */
    public static final long NONE = -1;

    private static final String NAME = "Retry-After";
    private static final double MILLIS_PER_SECOND = 1_000;

    private RetryAfter() {}

    /**
     * Returns the time that an answer asks for: seconds, also with a fraction, or a date. Negative
     * numbers and dates in the past mean 0. Of several fields the longest time counts; fields that
     * cannot be read are ignored.
     *
     * @param headers header fields of the answer
     * @param now current time of day
     * @return the time in milliseconds, or {@link #NONE}
     */
    public static long parseMillis(List<HeaderField> headers, Instant now) {
        long longest = NONE;
        for (HeaderField field : headers) {
            if (field.hasName(NAME)) {
                longest = Math.max(longest, parse(field.value().trim(), now));
            }
        }
        return longest;
    }

    private static long parse(String value, Instant now) {
        if (value.matches("[+-]?[0-9]{1,18}([.][0-9]{0,18})?")) {
            return Math.max(0, (long) (Double.parseDouble(value) * MILLIS_PER_SECOND));
        }
        try {
            Instant date = Instant.from(DateTimeFormatter.RFC_1123_DATE_TIME.parse(value));
            return Math.max(0, date.toEpochMilli() - now.toEpochMilli());
        } catch (DateTimeException e) {
            return NONE;
        }
    }
}
