package org.hemlockrack.admission;

/**
 * The last acknowledgement that a backend server received from the instance it announces to.
 *
 * <p>It gives the receiver a lower bound of the sending time on its own clock, however long the
 * announcement was in flight: the backend server sent it no earlier than {@code ownerNanos} plus
 * {@code heldNanos}.
 *
 * @param ownerEpoch identifies the process that issued the acknowledgement
 * @param ownerNanos monotonic time of that process at the acknowledgement
 * @param heldNanos time from receiving the acknowledgement to preparing the announcement, by the
 *     clock of the backend server
 */
public record LeaseEcho(long ownerEpoch, long ownerNanos, long heldNanos) {}
