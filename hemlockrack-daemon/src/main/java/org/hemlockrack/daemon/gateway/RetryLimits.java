package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.limits.FleetLimit;

/**
 * Limits of the retries that all gateways together may send to one service.
 *
 * @param ratio retries for each request
 * @param slack retries in one window without any request
 * @param windowSeconds length of the window
 */
public record RetryLimits(double ratio, double slack, double windowSeconds) {
    private static final double MILLIS_PER_SECOND = TimeUnit.SECONDS.toMillis(1);

    long windowMillis() {
        return Math.round(windowSeconds * MILLIS_PER_SECOND);
    }

    FleetLimit fleetLimit() {
        return new FleetLimit(slack, ratio, TimeUnit.MILLISECONDS.toNanos(windowMillis()));
    }
}
