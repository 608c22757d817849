package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.Version;
import org.jspecify.annotations.Nullable;

/**
 * News about one member.
 *
 * @param shortId short id of the member
 * @param info its identity, null in the brief form
 * @param incarnation version of the news
 * @param status status that the sender saw
 * @param ready whether it takes work
 * @param draining whether it must not become an owner
 * @param configVersion the configuration it has in force
 */
public record News(
        long shortId,
        @Nullable InstanceInfo info,
        Version incarnation,
        MemberStatus status,
        boolean ready,
        boolean draining,
        long configVersion) {}
