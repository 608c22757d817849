package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;

/**
 * Selects the one controller from which a newer route table is fetched. If all gateways fetched a
 * long table from every controller when they start at once, the controllers' links would be
 * saturated. Confined to the loop.
 */
final class TableFetch {
    /** Time after which another controller is asked if the table has not arrived. */
    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    private String mAddress = "";
    private long mVersion;
    private long mSinceNanos;
    private boolean mRequestPending;

    /**
     * Records that a controller holds a newer table than this gateway.
     *
     * @param nowNanos monotonic time
     * @param address the controller
     * @param version version of its table
     * @param adoptable whether this gateway may adopt a table from the controller; a table that the
     *     controller only holds on disk may never have been committed
     */
    void offer(long nowNanos, String address, long version, boolean adoptable) {
        if (!adoptable) {
            return;
        }
        boolean canReplace = mAddress.isEmpty() || nowNanos - mSinceNanos >= FETCH_TIMEOUT_NANOS;
        if (!canReplace && version <= mVersion) {
            return;
        }
        mAddress = address;
        mVersion = version;
        mSinceNanos = nowNanos;
        mRequestPending = true;
    }

    /**
     * Returns whether the next request to a controller is to ask for its table, and marks the table
     * as requested.
     */
    boolean tryRequest(String address) {
        if (!mAddress.equals(address)) {
            return false;
        }
        mRequestPending = false;
        return true;
    }

    /** Returns whether the controller was selected and has not been asked yet. */
    boolean isRequestPending(String address) {
        return mRequestPending && mAddress.equals(address);
    }

    /**
     * Records a reply without the table. A controller that was asked and has many tables on their
     * way leaves it out; the next one that offers the table is asked then.
     *
     * @param address the controller
     * @return whether the controller was asked
     */
    boolean recordLeftOut(String address) {
        if (!mAddress.equals(address) || mRequestPending) {
            return false;
        }
        clear();
        return true;
    }

    /** Returns the version of the table that is being fetched, 0 for none. */
    long expectedVersion() {
        return mVersion;
    }

    /** Clears the selection after the table has arrived. */
    void clear() {
        mAddress = "";
        mVersion = 0;
        mRequestPending = false;
    }
}
