package org.hemlockrack.registry;

/**
 * A backend server as this instance knows it.
 *
 * @param registration its newest heartbeat
 * @param receivedNanos monotonic time at which a controller received that heartbeat
 * @param coldUntilNanos monotonic time at which its cold start ends
 */
public record RegisteredServer(Registration registration, long receivedNanos, long coldUntilNanos) {
    /** Returns whether the server is still cold. */
    public boolean isCold(long nowNanos) {
        return coldUntilNanos - nowNanos > 0;
    }
}
