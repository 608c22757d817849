package org.hemlockrack.membership;

import java.util.List;

/**
 * Settings of one instance's membership.
 *
 * @param self this instance
 * @param startIncarnation larger than at every earlier start, for example wall-clock milliseconds
 * @param seeds peer addresses to join through; its own address is ignored
 */
public record MembershipSettings(InstanceInfo self, long startIncarnation, List<String> seeds) {
    /** Copies the seeds. */
    public MembershipSettings {
        seeds = List.copyOf(seeds);
    }
}
