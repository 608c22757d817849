package org.hemlockrack.rollout;

/**
 * A fault of a new version that the evidence shows.
 *
 * @param reason the kind of fault
 * @param detail where it was seen, and the counts
 */
public record Finding(RolloutReason reason, String detail) {}
