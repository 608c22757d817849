package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Reads of the committed state that wait at a controller until its state is known to hold
 * everything that was committed when they arrived. Not thread-safe.
 *
 * @param <T> identifies a read
 */
public final class WaitingReads<T> {
    /**
     * Time after which a read goes to the leader or is refused. Callers ask another controller
     * after a second without an answer, and the answer of the leader must begin before that.
     */
    public static final long MAX_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /**
     * Shortest time between two reads that go to the leader. Confirmations are late while its link
     * is full; if all controllers passed their reads on then, the documents would keep it full.
     */
    public static final long REDIRECT_PAUSE_NANOS = TimeUnit.SECONDS.toNanos(8);

    /**
     * Time after which a read ends at a controller that leads and is not confirmed. It has nobody
     * to pass the read to; the caller has gone to another controller by then.
     */
    public static final long MAX_LEADER_WAIT_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    /**
     * Most reads that wait. Their answers start at the same confirmation, and the documents of 64
     * reads need 24 MB of the memory of the port.
     */
    public static final int MAX_READS = 64;

    private final Map<T, Long> mArrivalNanosByRead = new LinkedHashMap<>();
    private @Nullable Long mRedirectedNanos;

    /** Who leads, as seen by a controller. */
    public enum Leader {
        SELF(MAX_LEADER_WAIT_NANOS),
        OTHER(MAX_WAIT_NANOS),
        NONE(MAX_WAIT_NANOS);

        private final long mMaxWaitNanos;

        Leader(long maxWaitNanos) {
            mMaxWaitNanos = maxWaitNanos;
        }
    }

    /** How a read ends. */
    public enum Outcome {
        /** This controller answers with its current state. */
        SERVE,
        /** The caller is sent to the leader. */
        REDIRECT,
        /** The read is refused; the caller asks another controller. */
        REFUSE
    }

    /**
     * A read that has ended.
     *
     * @param read the read
     * @param outcome how it ended
     * @param <T> identifies a read
     */
    public record Ended<T>(T read, Outcome outcome) {}

    private WaitingReads() {}

    /**
     * Creates an instance without reads.
     *
     * @param <T> identifies a read
     */
    public static <T> WaitingReads<T> create() {
        return new WaitingReads<>();
    }

    /**
     * Adds a read.
     *
     * @param nowNanos monotonic time
     * @param read the read
     * @param leader who leads
     * @param canConfirm whether the state of this controller can be confirmed; otherwise waiting
     *     for another leader's confirmation is useless
     * @return how the read ends at once, or null if it waits
     */
    public @Nullable Outcome add(long nowNanos, T read, Leader leader, boolean canConfirm) {
        if (leader == Leader.OTHER && !canConfirm) {
            return Outcome.REDIRECT;
        }
        if (mArrivalNanosByRead.size() >= MAX_READS) {
            return Outcome.REFUSE;
        }
        mArrivalNanosByRead.put(read, nowNanos);
        return null;
    }

    /** Removes a read whose caller has left. */
    public void remove(T read) {
        mArrivalNanosByRead.remove(read);
    }

    /** Returns whether no read waits. */
    public boolean isEmpty() {
        return mArrivalNanosByRead.isEmpty();
    }

    /**
     * Ends the reads that can be answered and those that have waited too long.
     *
     * @param nowNanos monotonic time
     * @param confirmedNanos newest time of which the state is known to hold everything that was
     *     committed by then, or null if none is known; the state that is served must be read after
     *     this time was
     * @param leader who leads
     * @return the reads that have ended, in the order of their arrival
     */
    public List<Ended<T>> end(long nowNanos, @Nullable Long confirmedNanos, Leader leader) {
        List<Ended<T>> ended = new ArrayList<>();
        Iterator<Map.Entry<T, Long>> reads = mArrivalNanosByRead.entrySet().iterator();
        while (reads.hasNext()) {
            Map.Entry<T, Long> each = reads.next();
            long arrivalNanos = each.getValue();
            boolean isConfirmed = confirmedNanos != null && confirmedNanos - arrivalNanos >= 0;
            if (!isConfirmed && nowNanos - arrivalNanos < leader.mMaxWaitNanos) {
                continue;
            }
            Outcome outcome = isConfirmed ? Outcome.SERVE : unconfirmed(nowNanos, leader);
            ended.add(new Ended<>(each.getKey(), outcome));
            reads.remove();
        }
        return ended;
    }

    private Outcome unconfirmed(long nowNanos, Leader leader) {
        boolean isPaused =
                mRedirectedNanos != null && nowNanos - mRedirectedNanos < REDIRECT_PAUSE_NANOS;
        if (leader != Leader.OTHER || isPaused) {
            return Outcome.REFUSE;
        }
        mRedirectedNanos = nowNanos;
        return Outcome.REDIRECT;
    }
}
