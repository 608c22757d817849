package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.Version;
import org.jspecify.annotations.Nullable;

/**
 * An update about one member in a gossip message.
 *
 * @param shortId short id of the member
 * @param info its identity, null in the brief form
 * @param incarnation version of the update
 * @param status status of the member in the view of the sender
 * @param ready whether it accepts work
 * @param draining whether it must not become an owner
 * @param configVersion version of the configuration that it has in force
 */
public record MemberUpdate(
        long shortId,
        @Nullable InstanceInfo info,
        Version incarnation,
        MemberStatus status,
        boolean ready,
        boolean draining,
        long configVersion) {}
