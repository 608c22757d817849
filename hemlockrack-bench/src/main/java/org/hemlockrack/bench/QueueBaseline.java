package org.hemlockrack.bench;

import java.util.Comparator;
import java.util.TreeMap;
import java.util.function.Consumer;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionEvent.Arrived;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.errors.ErrorKind;

/** Baseline with a fixed concurrency limit and a bounded FIFO queue, optionally by priority. */
final class QueueBaseline implements Decider<AdmissionEvent, AdmissionOutput> {
    private final TreeMap<Position, Arrived> mWaiting;
    private final boolean mByPriority;
    private final int mLimit;
    private final int mMaxQueueLength;
    private long mNextOrder;
    private int mInFlight;

    private record Position(int rank, long order) {}

    QueueBaseline(boolean byPriority, int limit, int maxQueueLength) {
        mByPriority = byPriority;
        mLimit = limit;
        mMaxQueueLength = maxQueueLength;
        mWaiting =
                new TreeMap<>(
                        Comparator.comparingInt(Position::rank).thenComparingLong(Position::order));
    }

    @Override
    public void onEvent(
            long nowNanos, AdmissionEvent event, Consumer<? super AdmissionOutput> out) {
        if (event instanceof Arrived arrived) {
            enqueue(arrived, out);
        } else if (event instanceof AdmissionEvent.Finished) {
            mInFlight--;
        }
        while (mInFlight < mLimit && !mWaiting.isEmpty()) {
            mInFlight++;
            String id = mWaiting.pollFirstEntry().getValue().requestId();
            out.accept(new AdmissionOutput.Dispatch(id, Long.MAX_VALUE));
        }
    }

    private void enqueue(Arrived request, Consumer<? super AdmissionOutput> out) {
        int rank = mByPriority ? request.priority().ordinal() : 0;
        mWaiting.put(new Position(rank, mNextOrder++), request);
        if (mWaiting.size() > mMaxQueueLength) {
            String id = mWaiting.pollLastEntry().getValue().requestId();
            out.accept(new AdmissionOutput.Refuse(id, ErrorKind.OVERLOADED, 0));
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super AdmissionOutput> out) {}

    @Override
    public long nextTimerNanos() {
        return NO_TIMER;
    }
}
