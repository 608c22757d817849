package org.hemlockrack.daemon.gateway;

import java.util.List;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * The route table of a gateway, and what controllers report of newer ones. Immutable; times are
 * monotonic.
 *
 * @param table the table in force, or null if none is known yet
 * @param confirmedNanos newest time by which the table is known to have been the newest
 *     acknowledged one, or null if there is none
 * @param majorityRequestedNanos time since which a majority of the voters was asked and has
 *     answered, or null if none has
 * @param majorityReceivedNanos time since which their answers arrived, or null if none did
 * @param reachNanos time after an answer in which a controller counts as reachable
 * @param newer newer tables that may be in force instead
 * @param hasAllNewer whether those are all that the voters have reported
 */
record TableStanding(
        @Nullable RouteTable table,
        @Nullable Long confirmedNanos,
        @Nullable Long majorityRequestedNanos,
        @Nullable Long majorityReceivedNanos,
        long reachNanos,
        List<RouteTable> newer,
        boolean hasAllNewer) {
    static final TableStanding UNKNOWN =
            new TableStanding(null, null, null, null, 0, List.of(), false);

    /** An acknowledged table must be in force after this time, so older knowledge is no proof. */
    static final long MAX_AGE_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Copies the list. */
    TableStanding {
        newer = List.copyOf(newer);
    }

    TableTrust trust(long nowNanos) {
        if (isWithin(confirmedNanos, nowNanos, MAX_AGE_NANOS)) {
            return TableTrust.CONFIRMED;
        }
        boolean reachesMajority =
                isWithin(majorityReceivedNanos, nowNanos, reachNanos)
                        && isWithin(majorityRequestedNanos, nowNanos, MAX_AGE_NANOS);
        return reachesMajority ? TableTrust.DOUBTED : TableTrust.UNVERIFIABLE;
    }

    private static boolean isWithin(@Nullable Long atNanos, long nowNanos, long ageNanos) {
        return atNanos != null && nowNanos - atNanos < ageNanos;
    }
}
