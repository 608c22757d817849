package org.hemlockrack.rollout;

/**
 * A fault of the new version that the request statistics show.
 *
 * @param reason the kind of fault
 * @param detail the traffic on which it was detected, and the request counts
 */
public record DetectedFault(RolloutReason reason, String detail) {}
