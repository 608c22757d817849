package org.hemlockrack.daemon.controller;

import java.util.Locale;
import java.util.concurrent.TimeUnit;
import java.util.function.Consumer;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.daemon.metrics.Metrics;

/**
 * Makes the calls of all duties one after the other, within the rate that the platform accepts. One
 * call at a time keeps calls in order and bounds how many can still take effect late. Guarded by
 * {@link DutyService}.
 */
final class DutyCaller {
    /** Shortest time between two calls; {@link DutyService#run} makes one call at most. */
    private static final long MIN_PAUSE_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /**
     * Part of the accepted rate that is used; after a change of holder the last calls of the
     * previous one count as well.
     */
    private static final double RATE_FRACTION = 0.5;

    /** First and longest pause after a call that was not accepted; the pause doubles each time. */
    private static final long FIRST_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(250);

    private static final long MAX_BACKOFF_NANOS = TimeUnit.MILLISECONDS.toNanos(2_000);

    private final DutyService mService;
    private final DutyCalls mCalls;
    private final DutyTransport mTransport;
    private final DutyClock mClock;
    private final Metrics mMetrics;
    private final long mPauseNanos;
    private long mBackoffNanos = FIRST_BACKOFF_NANOS;
    private long mNextNanos;
    private boolean mInCall;

    DutyCaller(
            DutyService service,
            DutyCalls calls,
            DutyTransport transport,
            double callsPerSecond,
            DutyClock clock,
            Metrics metrics) {
        mService = service;
        mCalls = calls;
        mTransport = transport;
        mClock = clock;
        mMetrics = metrics;
        double rate = callsPerSecond * RATE_FRACTION;
        long pauseNanos = (long) (TimeUnit.SECONDS.toNanos(1) / Math.max(rate, 1e-3));
        mPauseNanos = Math.max(MIN_PAUSE_NANOS, pauseNanos);
        mNextNanos = clock.nanos();
    }

    /** Returns whether a call may be made now as far as the rate is concerned. */
    boolean isFree(long nowNanos) {
        return !mInCall && nowNanos - mNextNanos >= 0;
    }

    /**
     * Makes a call.
     *
     * @param tenure the duty
     * @param call the call
     * @param onAnswer receives the answer, guarded by the service
     */
    void call(DutyTenure tenure, DutyCalls.Call call, Consumer<DutyAnswer> onAnswer) {
        long token = tenure.lease().token();
        mInCall = true;
        mNextNanos = mClock.nanos() + mPauseNanos;
        mTransport.send(
                call,
                () -> mService.maySend(tenure, token),
                status -> {
                    synchronized (mService) {
                        onEnd(tenure, token, status, onAnswer);
                    }
                });
    }

    private void onEnd(DutyTenure tenure, long token, int status, Consumer<DutyAnswer> onAnswer) {
        mInCall = false;
        DutyAnswer answer =
                status == DutyTransport.NO_ANSWER ? DutyAnswer.UNKNOWN : mCalls.readAnswer(status);
        mMetrics.increment(MetricName.DUTY_CALLS, "answer", answer.name().toLowerCase(Locale.ROOT));
        if (answer == DutyAnswer.ACCEPTED) {
            mBackoffNanos = FIRST_BACKOFF_NANOS;
        } else {
            mNextNanos = mClock.nanos() + Math.max(mPauseNanos, mBackoffNanos);
            mBackoffNanos = Math.min(MAX_BACKOFF_NANOS, 2 * mBackoffNanos);
        }
        if (answer == DutyAnswer.OUTDATED) {
            tenure.lease().recordRefusal(token);
        }
        onAnswer.accept(answer);
    }
}
