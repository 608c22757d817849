package org.hemlockrack.dispatch;

import org.hemlockrack.model.ZoneId;

/**
 * The begin or the end of the suspension of an availability zone whose servers did not answer.
 *
 * @param zone the zone
 * @param begun whether the suspension has begun; otherwise it has ended
 * @param servers servers in a row that gave no answer, 0 at the end
 * @param lastedNanos how long the suspension lasted, 0 at the begin
 */
public record ZoneSuspension(ZoneId zone, boolean begun, int servers, long lastedNanos) {
    static ZoneSuspension begun(ZoneId zone, int servers) {
        return new ZoneSuspension(zone, true, servers, 0);
    }

    static ZoneSuspension ended(ZoneId zone, long lastedNanos) {
        return new ZoneSuspension(zone, false, 0, lastedNanos);
    }
}
