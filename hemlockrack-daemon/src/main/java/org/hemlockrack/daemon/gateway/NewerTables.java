package org.hemlockrack.daemon.gateway;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import java.util.function.Function;
import org.hemlockrack.control.LogReports;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/**
 * Tables in the logs of the controllers that may be in force instead of the one that a gateway
 * uses. Confined to the loop.
 */
final class NewerTables {
    /**
     * Age of the last confirmation from which the newer tables themselves are fetched. It leaves
     * time for that before the table in force is doubted.
     */
    private static final long FETCH_AGE_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Time after which tables that have not arrived are fetched again. */
    private static final long FETCH_TIMEOUT_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** A controller that is late by more than this counts as unreachable. */
    private static final long MAX_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(500);

    /** Most bytes of tables that one fetch takes. */
    private static final int MAX_FETCH_BYTES = 256 << 10;

    /**
     * Most bytes of tables that come with the first report after a loss of all controllers. All
     * controllers are asked for them, so that they arrive with whichever report is the first.
     */
    private static final int MAX_FIRST_BYTES = 16 << 10;

    /** Most tables that are kept; their number is up to the controllers. */
    private static final int MAX_TABLES = 64;

    private final Function<LoggedTableData, @Nullable RouteTable> mParser;
    private final LogReports mReports = LogReports.create();
    private final TreeMap<Long, RouteTable> mTables = new TreeMap<>();

    /** What each controller was last asked for, and when. */
    private final Map<String, Fetch> mFetches = new HashMap<>();

    /** The controller that is being asked, empty if none is. */
    private String mFetchAddress = "";

    private boolean mFetchPending;

    /** The version above which each controller was last asked to list its tables. */
    private final Map<String, Long> mListedAbove = new HashMap<>();

    /** A fetch of all tables that a controller lists; one of them was missing. */
    private record Fetch(long version, long sinceNanos) {
        boolean isRecent(long nowNanos) {
            return nowNanos - sinceNanos < FETCH_TIMEOUT_NANOS;
        }
    }

    /**
     * Creates an instance without reports.
     *
     * @param parser parses a table; returns null if it is not usable
     */
    NewerTables(Function<LoggedTableData, @Nullable RouteTable> parser) {
        mParser = parser;
    }

    /**
     * Adds to a request what the controller is to report.
     *
     * @param address the controller
     * @param tableVersion version of the table in force, 0 if there is none
     * @param request the request
     */
    void describe(String address, long tableVersion, SyncRequest request) {
        long above = tableVersion > 0 ? tableVersion : versionBelowFirst();
        mListedAbove.put(address, above);
        request.setListTablesAbove(above);
        if (isRequestPending(address)) {
            mFetchPending = false;
            request.setMaxTableBytes(MAX_FETCH_BYTES);
        } else {
            request.setMaxTableBytes(mReports.hasReported(address) ? 0 : MAX_FIRST_BYTES);
        }
    }

    /**
     * Returns the version above which a gateway without a table needs all tables. Before a majority
     * has reported, it needs none.
     */
    private long versionBelowFirst() {
        long first = mReports.newestOnMajority();
        return first == 0 ? Long.MAX_VALUE : first - 1;
    }

    /** Returns whether the next request to a controller is to fetch tables and was not sent yet. */
    boolean isRequestPending(String address) {
        return mFetchPending && mFetchAddress.equals(address);
    }

    /**
     * Records what a controller reports.
     *
     * @param nowNanos monotonic time
     * @param address the controller
     * @param reply its reply
     * @param requestedNanos monotonic time of the request
     */
    void recordReply(long nowNanos, String address, SyncReply reply, long requestedNanos) {
        if (mFetchAddress.equals(address) && !mFetchPending) {
            mFetchAddress = "";
        }
        if (!reply.isSetLoggedTableVersion()) {
            mReports.forget(address);
            return;
        }
        List<Long> versions = new ArrayList<>();
        for (LoggedTableData data : reply.getLoggedTables()) {
            versions.add(data.getVersion());
            if (data.isSetDocument()) {
                addTable(data);
            }
        }
        mReports.record(
                address,
                new LogReports.Report(
                        reply.getLoggedTableVersion(),
                        mListedAbove.getOrDefault(address, Long.MAX_VALUE),
                        versions,
                        reply.getSettledTerm(),
                        reply.getSettledRevision(),
                        reply.getVoters(),
                        requestedNanos,
                        nowNanos));
    }

    private void addTable(LoggedTableData data) {
        if (mTables.containsKey(data.getVersion())) {
            return;
        }
        RouteTable table = mParser.apply(data);
        if (table == null) {
            return;
        }
        mTables.put(data.getVersion(), table);
        if (mTables.size() > MAX_TABLES) {
            mTables.pollFirstEntry();
        }
    }

    /**
     * Asks a controller for the tables that are missing, if they may be needed soon.
     *
     * @param nowNanos monotonic time
     * @param address the controller
     * @param tableVersion version of the table in force, 0 if there is none
     * @param confirmedNanos time by which that table was the newest, or null if never
     */
    void fetchMissing(
            long nowNanos, String address, long tableVersion, @Nullable Long confirmedNanos) {
        boolean isNeeded = confirmedNanos == null || nowNanos - confirmedNanos >= FETCH_AGE_NANOS;
        long first = tableVersion > 0 ? tableVersion + 1 : mReports.newestOnMajority();
        if (!isNeeded || first == 0) {
            return;
        }
        for (long version : mReports.newerThan(first - 1)) {
            if (!mTables.containsKey(version) && mReports.hasReported(address, version)) {
                startFetch(nowNanos, address, version);
                return;
            }
        }
    }

    private void startFetch(long nowNanos, String address, long version) {
        Fetch current = mFetches.get(mFetchAddress);
        boolean isBusy = current != null && current.isRecent(nowNanos);
        Fetch last = mFetches.get(address);
        boolean isRepeated = last != null && last.version() >= version && last.isRecent(nowNanos);
        if (isBusy || isRepeated) {
            return;
        }
        mFetches.put(address, new Fetch(version, nowNanos));
        mFetchAddress = address;
        mFetchPending = true;
    }

    /** Drops the report of a controller that does not answer. */
    void forget(String address) {
        mReports.forget(address);
        mFetches.remove(address);
        if (mFetchAddress.equals(address)) {
            mFetchAddress = "";
            mFetchPending = false;
        }
    }

    /** Drops the reports of all controllers that are not listed. */
    void retain(Set<String> addresses) {
        mReports.retain(addresses);
        mFetches.keySet().retainAll(addresses);
        mListedAbove.keySet().retainAll(addresses);
    }

    /** Drops the tables up to the one in force. */
    void dropUpTo(long tableVersion) {
        mTables.headMap(tableVersion, true).clear();
    }

    /** Returns a newer table, or null if it was not fetched. */
    @Nullable RouteTable table(long version) {
        return mTables.get(version);
    }

    /**
     * Returns the newest table that cannot be lost any more, or null if none is known or it was not
     * fetched.
     */
    @Nullable RouteTable newestSettled() {
        return mTables.get(mReports.newestSettled());
    }

    /** Returns the newest revision of the control state that cannot be lost any more, 0 if none. */
    long newestSettledRevision() {
        return mReports.newestSettledRevision();
    }

    /**
     * Returns the newest table that a majority has on its disks, or null if none is known or it was
     * not fetched.
     */
    @Nullable RouteTable newestOnMajority() {
        return mTables.get(mReports.newestOnMajority());
    }

    /**
     * Returns the newest time by which a table is known to have been the newest acknowledged one,
     * or null if the reports do not show that.
     */
    @Nullable Long confirmedNanos(long tableVersion) {
        return mReports.confirmedNanos(tableVersion);
    }

    /**
     * Returns what is known of a table.
     *
     * @param table the table in force, or null if there is none
     * @param confirmedNanos time by which it was the newest, or null if never
     * @param newestCommitted version of the newest committed table that was reported
     * @param gateways number of gateways in the fleet, on which the pause between reports depends
     */
    TableStanding standing(
            @Nullable RouteTable table,
            @Nullable Long confirmedNanos,
            long newestCommitted,
            int gateways) {
        long version = table == null ? 0 : table.version();
        Set<Long> versions = mReports.newerThan(version);
        if (newestCommitted > version) {
            versions.add(newestCommitted);
        }
        List<RouteTable> newer = new ArrayList<>();
        for (long each : versions) {
            RouteTable known = mTables.get(each);
            if (known != null) {
                newer.add(known);
            }
        }
        return new TableStanding(
                table,
                confirmedNanos,
                mReports.requestedNanos(),
                mReports.receivedNanos(),
                ControllerLink.periodNanos(gateways) + MAX_DELAY_NANOS,
                newer,
                newer.size() == versions.size() && mReports.isListedAbove(version));
    }
}
