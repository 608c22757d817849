package org.hemlockrack.membership;

import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ZoneId;

/**
 * One instance as a view sees it.
 *
 * @param info its identity and addresses
 * @param incarnation version of its news; the epoch changes with each start
 * @param ready whether it takes work
 * @param draining whether it must not become an owner
 * @param configVersion the configuration it has in force, 0 if none
 * @param status whether it runs
 * @param trusted false while flap damping withholds ownership changes in its favour
 */
public record Member(
        InstanceInfo info,
        Version incarnation,
        boolean ready,
        boolean draining,
        long configVersion,
        MemberStatus status,
        boolean trusted) {
    /** Returns its id. */
    public InstanceId id() {
        return info.id();
    }

    /** Returns its zone. */
    public ZoneId zone() {
        return info.zone();
    }

    /** Returns whether it can own backend servers, flap damping aside. */
    public boolean canOwn() {
        return ready && !draining && status.owns();
    }
}
