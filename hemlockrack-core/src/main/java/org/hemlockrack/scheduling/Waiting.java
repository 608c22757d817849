package org.hemlockrack.scheduling;

import java.util.Comparator;

/** A request that waits until a deadline. */
public interface Waiting {
    /** Orders by deadline, then by arrival. */
    Comparator<Waiting> BY_DEADLINE =
            Comparator.comparingLong(Waiting::deadlineNanos)
                    .thenComparingLong(Waiting::arrivalNumber);

    /** Returns the id, unique among the waiting requests. */
    String id();

    /** Returns the monotonic time from which the request need not be served any more. */
    long deadlineNanos();

    /** Returns a number that increases with each arrival. */
    long arrivalNumber();
}
