package org.hemlockrack.daemon.gateway;

import java.util.concurrent.TimeUnit;

/**
 * The one controller that is asked for a new route table. A long table from every controller would
 * fill their links when all gateways start at once. Confined to the loop.
 */
final class TableSource {
    /** Another controller is asked if the table has not come after this time. */
    private static final long PATIENCE_NANOS = TimeUnit.SECONDS.toNanos(1);

    private String mAddress = "";
    private long mVersion;
    private long mSinceNanos;
    private boolean mNew;

    /**
     * Notes that a controller holds a newer table than this gateway.
     *
     * @param nowNanos monotonic time
     * @param address the controller
     * @param version version of its table
     * @param adoptable whether this gateway may take a table from it; what a controller holds on
     *     disk may never have been committed
     */
    void offer(long nowNanos, String address, long version, boolean adoptable) {
        if (!adoptable) {
            return;
        }
        boolean open = mAddress.isEmpty() || nowNanos - mSinceNanos >= PATIENCE_NANOS;
        if (!open && version <= mVersion) {
            return;
        }
        mAddress = address;
        mVersion = version;
        mSinceNanos = nowNanos;
        mNew = true;
    }

    /** Returns whether the next request to a controller asks for its table, and notes that. */
    boolean ask(String address) {
        if (!mAddress.equals(address)) {
            return false;
        }
        mNew = false;
        return true;
    }

    /** Returns whether a controller was chosen and has not been asked yet. */
    boolean isNew(String address) {
        return mNew && mAddress.equals(address);
    }

    /** Returns the version that is expected, 0 for none. */
    long version() {
        return mVersion;
    }

    /** Forgets the controller, because its table has come. */
    void clear() {
        mAddress = "";
        mVersion = 0;
        mNew = false;
    }
}
