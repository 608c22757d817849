package org.hemlockrack.membership.internal;

import org.hemlockrack.membership.Version;

/**
 * Identifies one version of one entry in anti-entropy messages.
 *
 * @param shortId short id of the entry
 * @param version the version that the sender holds
 */
public record VersionedKey(long shortId, Version version) {}
