package org.hemlockrack.limits;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * Grants permits of fleet-wide limits to the instances that ask for them. Each of several keepers
 * grants an equal part of a limit and needs no agreement with the others: whatever instances ask
 * whichever keepers, the sum stays within the limit.
 *
 * <p>What is spent in a window was granted in it or up to {@link #LIFETIME_NANOS} before it, so a
 * keeper never grants more than its part in that span. A token bucket spreads the grants over the
 * span. An earlier incarnation of a restarted keeper may have granted a full bucket just before;
 * the new one starts with that debt, so that a restart only loses permits. Not thread-safe; time is
 * monotonic and passed in.
 */
public final class PermitKeeper {
    /** Time for which a permit is valid; more than a round trip to a loaded controller. */
    public static final long LIFETIME_NANOS = TimeUnit.MILLISECONDS.toNanos(600);

    /** Part of a limit that is used; the rest covers reports of requests that are late. */
    private static final double USED_SHARE = 0.97;

    /**
     * Permits of all full buckets together, as a share of the slack. A server that fails breaks
     * many requests at once; the rest of the slack is left for later in the same window.
     */
    private static final double BURST_SHARE = 0.4;

    private static final int GRANT_SLOTS = 250;

    /** Longest window of a limit for which all requests count. */
    private static final long REQUEST_HISTORY_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int REQUEST_SLOTS = 600;

    /** Time over which the rate of requests is measured. */
    private static final long RATE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /**
     * Age from which requests count. Reports arrive at least that often, so that by then the
     * requests of all instances are known, and none counts for a time outside the window.
     */
    private static final long REPORT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time without a report after which the request counts of an instance are forgotten. */
    private static final long SENDER_EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(30);

    private final long mStartNanos;
    private final boolean mStartsFull;
    private final Map<String, Bucket> mBuckets = new HashMap<>();
    private final Map<String, SlidingSum> mRequests = new HashMap<>();
    private final Map<String, Sender> mSenders = new HashMap<>();
    private long mExpiredNanos;

    private PermitKeeper(long startNanos, boolean startsFull) {
        mStartNanos = startNanos;
        mStartsFull = startsFull;
    }

    /**
     * Creates a keeper that starts for the first time, with full buckets.
     *
     * @param nowNanos monotonic time
     */
    public static PermitKeeper createFull(long nowNanos) {
        return new PermitKeeper(nowNanos, true);
    }

    /**
     * Creates a keeper whose earlier incarnation may have granted permits.
     *
     * @param nowNanos monotonic time
     */
    public static PermitKeeper createEmpty(long nowNanos) {
        return new PermitKeeper(nowNanos, false);
    }

    /** This keeper's part of one limit. */
    private static final class Bucket {
        final SlidingSum mGranted;
        double mPermits;
        long mRefilledNanos;

        Bucket(double permits, long refilledNanos, SlidingSum granted) {
            mPermits = permits;
            mRefilledNanos = refilledNanos;
            mGranted = granted;
        }
    }

    /** Requests of one limit that an instance had received at a time. */
    private record Report(long atNanos, long requests) {}

    /** The newest request counts of one instance. */
    private static final class Sender {
        final Map<String, Report> mReports = new HashMap<>();
        long mReportedNanos;
    }

    /**
     * Records how many requests an instance has received since it started. The first report of an
     * instance only sets the count from which later ones are measured.
     *
     * @param nowNanos monotonic time
     * @param sender id of the running instance, different after a restart
     * @param limitName the limit
     * @param requests requests since the instance started
     */
    public void recordRequests(long nowNanos, String sender, String limitName, long requests) {
        if (nowNanos - mExpiredNanos > SENDER_EXPIRY_NANOS) {
            mExpiredNanos = nowNanos;
            mSenders.values()
                    .removeIf(each -> nowNanos - each.mReportedNanos > SENDER_EXPIRY_NANOS);
        }
        Sender known = mSenders.computeIfAbsent(sender, key -> new Sender());
        known.mReportedNanos = nowNanos;
        Report earlier = known.mReports.put(limitName, new Report(nowNanos, requests));
        if (earlier != null && requests > earlier.requests()) {
            requestSum(nowNanos, limitName)
                    .addSince(nowNanos, earlier.atNanos(), requests - earlier.requests());
        }
    }

    /**
     * Grants permits.
     *
     * @param nowNanos monotonic time
     * @param limitName the limit
     * @param limit its values
     * @param wanted largest number of permits
     * @param keepers number of keepers that share the limit, this one included
     * @return the number of permits granted
     */
    public int grant(long nowNanos, String limitName, FleetLimit limit, int wanted, int keepers) {
        long spanNanos = limit.windowNanos() + LIFETIME_NANOS;
        // Below one permit, a bucket would never hold a whole one.
        double burst = Math.max(1, BURST_SHARE * limit.slack() / keepers);
        Bucket bucket = mBuckets.computeIfAbsent(limitName, key -> createBucket(burst, spanNanos));
        SlidingSum requests = requestSum(nowNanos, limitName);
        double share = USED_SHARE / keepers;
        double requestsPerWindow =
                requests.sum(nowNanos, RATE_NANOS, REPORT_NANOS) * limit.windowNanos() / RATE_NANOS;
        double refill = share * limit.permits(requestsPerWindow) / spanNanos;
        bucket.mPermits =
                Math.min(burst, bucket.mPermits + refill * (nowNanos - bucket.mRefilledNanos));
        bucket.mRefilledNanos = nowNanos;
        double requestsInWindow = requests.sum(nowNanos, limit.windowNanos(), REPORT_NANOS);
        double left = share * limit.permits(requestsInWindow) - bucket.mGranted.sum(nowNanos);
        int granted = Math.max(0, Math.min(wanted, (int) Math.min(bucket.mPermits, left)));
        bucket.mPermits -= granted;
        bucket.mGranted.add(nowNanos, granted);
        return granted;
    }

    private Bucket createBucket(double burst, long spanNanos) {
        return new Bucket(
                mStartsFull ? burst : -burst,
                mStartNanos,
                SlidingSum.empty(mStartNanos, spanNanos, GRANT_SLOTS));
    }

    private SlidingSum requestSum(long nowNanos, String limitName) {
        return mRequests.computeIfAbsent(
                limitName, key -> SlidingSum.empty(nowNanos, REQUEST_HISTORY_NANOS, REQUEST_SLOTS));
    }
}
