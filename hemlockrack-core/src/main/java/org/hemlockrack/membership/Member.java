package org.hemlockrack.membership;

import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/**
 * State of one instance in a membership view.
 *
 * @param info its identity and addresses
 * @param incarnation version of its state; the epoch changes with each start
 * @param ready whether it accepts work
 * @param draining whether it must not become an owner
 * @param configVersion version of the configuration that it has in force, 0 if none
 * @param status whether it is alive
 * @param stable false while flap damping keeps it from becoming an owner
 */
public record Member(
        InstanceInfo info,
        Version incarnation,
        boolean ready,
        boolean draining,
        long configVersion,
        MemberStatus status,
        boolean stable) {
    /** Returns its id. */
    public InstanceId id() {
        return info.id();
    }

    /** Returns its zone. */
    public ZoneId zone() {
        return info.zone();
    }

    /** Returns whether it can own backend servers, regardless of flap damping. */
    public boolean canOwn() {
        return ready && !draining && status.keepsOwnership();
    }
}
