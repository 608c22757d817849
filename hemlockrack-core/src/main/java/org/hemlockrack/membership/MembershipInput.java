package org.hemlockrack.membership;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/** Events that {@link Membership} accepts. */
public sealed interface MembershipInput {
    /**
     * A message of another instance arrived.
     *
     * @param sender the instance named by the envelope
     * @param payload the payload of the envelope
     */
    record Received(InstanceId sender, byte[] payload) implements MembershipInput {}

    /**
     * A backend server announced itself here; this instance is its owner.
     *
     * @param backend what it stated; owner and counter are filled in by the membership, the epoch
     *     of its version is the server's incarnation
     * @param inFlight its work in flight
     */
    record BackendAnnounced(Backend backend, int inFlight) implements MembershipInput {}

    /**
     * An owned backend server stopped announcing.
     *
     * @param id the server
     */
    record BackendGone(BackendId id) implements MembershipInput {}

    /**
     * Publishes a fact.
     *
     * @param fact the fact
     */
    record PublishFact(Fact fact) implements MembershipInput {}

    /**
     * States this instance's own condition.
     *
     * @param ready whether it takes work
     * @param draining whether it must not become an owner
     * @param configVersion the configuration in force
     */
    record SelfChanged(boolean ready, boolean draining, long configVersion)
            implements MembershipInput {}

    /**
     * A connection to an instance failed; it is probed at once.
     *
     * @param id the instance
     */
    record PeerFailed(InstanceId id) implements MembershipInput {}

    /** This instance leaves. */
    record Leave() implements MembershipInput {}
}
