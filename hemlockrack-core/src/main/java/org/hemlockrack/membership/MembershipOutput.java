package org.hemlockrack.membership;

import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** Actions that {@link Membership} requests. */
public sealed interface MembershipOutput {
    /**
     * Send a message once; it may be lost.
     *
     * @param target the receiver, null for a seed whose name is not known yet
     * @param address its peer address
     * @param payload payload of the envelope
     * @param wireBytes bytes that were charged to the budget
     */
    record Send(@Nullable InstanceId target, String address, byte[] payload, int wireBytes)
            implements MembershipOutput {}

    /** The view changed; at most once per call, after all other outputs. */
    record ViewChanged() implements MembershipOutput {}

    /**
     * A fact with a new key or a newer version was stored.
     *
     * @param fact the fact
     */
    record FactLearned(Fact fact) implements MembershipOutput {}
}
