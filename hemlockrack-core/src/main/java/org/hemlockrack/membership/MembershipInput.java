package org.hemlockrack.membership;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/** Events that {@link Membership} accepts. */
public sealed interface MembershipInput {
    /**
     * A message of another instance arrived.
     *
     * @param sender the sender according to the envelope
     * @param payload the payload of the envelope
     */
    record Received(InstanceId sender, byte[] payload) implements MembershipInput {}

    /**
     * A backend server announced itself here; this instance is its owner.
     *
     * @param backend the announced entry; the membership sets its owner and the counter of its
     *     version, the epoch of the version is the server's incarnation
     * @param inFlight its number of requests in flight
     */
    record BackendAnnounced(Backend backend, int inFlight) implements MembershipInput {}

    /**
     * An owned backend server stopped announcing itself.
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
     * Changes the published state of this instance.
     *
     * @param ready whether it accepts work
     * @param draining whether it must not become an owner
     * @param configVersion version of the configuration in force
     */
    record SelfChanged(boolean ready, boolean draining, long configVersion)
            implements MembershipInput {}

    /**
     * A connection to an instance failed; it is probed at once.
     *
     * @param id the instance
     */
    record PeerFailed(InstanceId id) implements MembershipInput {}

    /** This instance leaves the fleet gracefully. */
    record Leave() implements MembershipInput {}
}
