package org.hemlockrack.quarantine;

import org.hemlockrack.model.BackendId;

/** Tells whether a backend server still runs. */
@FunctionalInterface
public interface ServerActivity {
    /**
     * Returns whether an incarnation of a server has sent a heartbeat after a time.
     *
     * @param server the server
     * @param startMillis start of the incarnation, 0 if not stated
     * @param sinceNanos monotonic time
     */
    boolean hasHeartbeatSince(BackendId server, long startMillis, long sinceNanos);
}
