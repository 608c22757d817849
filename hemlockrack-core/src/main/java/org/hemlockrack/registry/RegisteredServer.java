package org.hemlockrack.registry;

/**
 * A registered backend server with the newest heartbeat received from it.
 *
 * @param registration the newest heartbeat
 * @param receivedNanos monotonic time at which a controller received that heartbeat
 * @param coldUntilNanos monotonic time until which the server counts as cold
 */
public record RegisteredServer(Registration registration, long receivedNanos, long coldUntilNanos) {
    /** Returns whether the server is still cold. */
    public boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }
}
