package org.hemlockrack.membership;

import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/** What {@link Membership} wants done. */
public sealed interface MembershipOutput {
    /**
     * Sends a message once; it may be lost.
     *
     * @param target the receiver, null for a seed whose name is not known yet
     * @param address its peer address
     * @param payload payload of the envelope
     * @param wireBytes what was charged to the budget
     */
    record Send(@Nullable InstanceId target, String address, byte[] payload, int wireBytes)
            implements MembershipOutput {}

    /** The view changed; at most once per call, after all other outputs. */
    record ViewChanged() implements MembershipOutput {}

    /**
     * A newer fact was learned.
     *
     * @param fact the fact
     */
    record FactLearned(Fact fact) implements MembershipOutput {}
}
