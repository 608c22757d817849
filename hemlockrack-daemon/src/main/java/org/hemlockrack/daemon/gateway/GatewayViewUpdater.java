package org.hemlockrack.daemon.gateway;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.daemon.sync.ControllerLinks;
import org.hemlockrack.dispatch.LoadSum;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.CrashEvidenceData;
import org.hemlockrack.wire.LoggedTableData;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VerdictData;
import org.jspecify.annotations.Nullable;

/**
 * Keeps the view of a gateway up to date by exchanging state with all known controllers. The table
 * version never decreases. The revision of the control state never decreases once a controller has
 * confirmed it.
 */
final class GatewayViewUpdater implements ControllerLink.Delegate {
    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final long NANOS_PER_MILLI = TimeUnit.MILLISECONDS.toNanos(1);

    /**
     * Controllers that are asked for sums. With 80 gateways and more, the exchange with each one
     * takes place every 0.8 s, so that a gateway gets sums about four times a second.
     */
    private static final int USAGE_SOURCES = 3;

    private final EventLoop mLoop;
    private final String mSenderId;
    private final ProtocolAdapter mProtocol;
    private final GatewayState mState;
    private final RetryPermits mRetries;
    private final GatewayQuarantine mQuarantine;
    private final DutyReports mDutyReports;
    private final QueueService mQueues;
    private final DecisionLog mLog;
    private final ControllerLinks mLinks;
    private Set<String> mSeeds = Set.of();
    private Set<String> mControllers = Set.of();
    private volatile List<String> mReachableControllers = List.of();
    private String mPrefixUseSource = "";
    private final TableFetch mTableFetch = new TableFetch();
    private final NewerTables mNewerTables = new NewerTables(this::parseTable);
    private final ViewFreshness mFreshness;

    /**
     * The controllers whose last reply held a table. The next request to them follows at once: it
     * shows that the table has arrived, and they bound the tables that have not.
     */
    private final Set<String> mUnconfirmedReplies = new HashSet<>();

    /** The last table that each controller which is not caught up has reported. */
    private final Map<String, Long> mUnconfirmedVersions = new HashMap<>();

    private volatile GatewayView mView = GatewayView.EMPTY;
    private volatile TableStanding mStanding = TableStanding.UNKNOWN;

    /** States by revision that may be lost, as long as no majority has reported them. */
    private final Map<Long, SyncReply> mUnsettledStates = new HashMap<>();

    /** The newest state that a controller which is not caught up has reported. */
    private @Nullable SyncReply mUnconfirmedState;

    /** Whether the view comes from committed state, rather than from disks after a restart. */
    private boolean mHasCommittedView;

    GatewayViewUpdater(
            EventLoop loop,
            PeerNetwork network,
            String senderId,
            ProtocolAdapter protocol,
            GatewayState state,
            RetryPermits retries,
            GatewayQuarantine quarantine,
            DutyReports dutyReports,
            QueueService queues,
            DecisionLog log) {
        mDutyReports = dutyReports;
        mQuarantine = quarantine;
        mQueues = queues;
        mLoop = loop;
        mLinks = ControllerLinks.create(loop, network, this, log);
        mSenderId = senderId;
        mProtocol = protocol;
        mState = state;
        mRetries = retries;
        mLog = log;
        quarantine.onEvidence(() -> loop.execute(mLinks::exchangeSoon));
        mFreshness = ViewFreshness.create(loop.nowNanos());
    }

    GatewayView view() {
        return mView;
    }

    /** Returns the route table in force and what is known of newer ones. */
    TableStanding standing() {
        return mStanding;
    }

    /**
     * Returns whether a route table may be taken for the newest one, so that what it does not allow
     * is not allowed.
     */
    boolean isNewestTable(long tableVersion) {
        return mFreshness.isNewest(mLoop.nowNanos(), tableVersion);
    }

    /** Returns whether a majority has confirmed the view recently. */
    boolean isViewConfirmed() {
        return mFreshness.isConfirmed(mLoop.nowNanos());
    }

    /** Returns the time since a majority confirmed the view, or since the start if none has. */
    double viewAgeSeconds() {
        return mFreshness.ageNanos(mLoop.nowNanos()) / NANOS_PER_SECOND;
    }

    /** Returns the time since the table in force was the newest, or since the start if unknown. */
    double tableAgeSeconds() {
        return mFreshness.tableAgeNanos(mLoop.nowNanos()) / NANOS_PER_SECOND;
    }

    /** Returns the highest version of a committed table that a controller has reported. */
    long newestReportedVersion() {
        return mFreshness.newestVersion();
    }

    /** Returns the peer addresses of the controllers that answer. */
    List<String> reachableControllers() {
        return mReachableControllers;
    }

    /** Starts the next exchange with each controller early. Thread-safe. */
    void exchangeSoon() {
        mLoop.execute(mLinks::exchangeSoon);
    }

    /** Sets the controllers that are listed in the settings. Called on the loop. */
    void setSeeds(List<String> addresses) {
        mSeeds = Set.copyOf(addresses);
        updateLinks();
    }

    private Set<String> knownControllers() {
        Set<String> addresses = new HashSet<>(mSeeds);
        addresses.addAll(mControllers);
        return addresses;
    }

    private void updateLinks() {
        Set<String> addresses = knownControllers();
        mLinks.setControllers(addresses);
        mNewerTables.retain(addresses);
    }

    @Override
    public Map<BackendId, Integer> ownLoad() {
        return mState.ownLoad();
    }

    @Override
    public PagedLog.Page<PrefixUseData> prefixUsesSince(long position, int maxUses) {
        return mState.prefixUsesSince(position, maxUses);
    }

    @Override
    public PagedLog.Page<CrashEvidenceData> crashEvidenceSince(long position, int maxEntries) {
        return mQuarantine.evidenceSince(mLoop.nowNanos(), position, maxEntries);
    }

    @Override
    public PagedLog.Page<CapacityData> observationsSince(long position, int maxEntries) {
        return mState.observationsSince(position, maxEntries);
    }

    @Override
    public List<VerdictData> verdicts() {
        return mQuarantine.verdicts(mLoop.nowNanos());
    }

    /**
     * Every controller receives the prefix uses of all gateways, so one reachable controller is
     * enough as a source. It is chosen once the gateway has a table, by when it knows more than the
     * seeds: the uses for all gateways would fill the links of the few seeds.
     */
    @Override
    public boolean wantsPrefixUses(String address) {
        if (mPrefixUseSource.isEmpty() && mView.table() != null) {
            List<String> reachable = mReachableControllers;
            int index = Math.floorMod(mSenderId.hashCode(), Math.max(1, reachable.size()));
            mPrefixUseSource = reachable.isEmpty() ? address : reachable.get(index);
        }
        return mPrefixUseSource.equals(address);
    }

    @Override
    public SyncRequest createRequest(String address, Map<BackendId, Integer> ownLoad) {
        mUnconfirmedReplies.remove(address);
        GatewayView view = mView;
        SyncRequest request = new SyncRequest();
        request.setSender(mSenderId);
        request.setGateway(true);
        request.setHaveRevision(mHasCommittedView ? view.revision() : -1);
        request.setHaveTableVersion(
                mTableFetch.tryRequest(address) ? view.tableVersion() : Long.MAX_VALUE);
        mNewerTables.describe(address, view.tableVersion(), request);
        request.setInFlight(ControllerLink.toLoadData(ownLoad));
        request.setCounts(mState.answerCounts());
        request.setRequests(mRetries.requestCounts());
        mDutyReports.describe(mLoop.nowNanos(), address, request);
        request.setUsages(mQueues.report(address));
        if (request.isSetUsages()) {
            request.setWantsUsages(isUsageSource(address));
        }
        return request;
    }

    /**
     * Returns whether a controller is asked for the sums of the requests by workspace. All gateways
     * report to each controller, and spread over them for the sums, which are larger.
     */
    private boolean isUsageSource(String address) {
        List<String> reachable = mReachableControllers.stream().sorted().toList();
        int index = reachable.indexOf(address);
        int first = reachable.isEmpty() ? 0 : Math.floorMod(mSenderId.hashCode(), reachable.size());
        return index >= 0 && Math.floorMod(index - first, reachable.size()) < USAGE_SOURCES;
    }

    @Override
    public int controllersWithoutState() {
        return mHasCommittedView ? 0 : knownControllers().size();
    }

    @Override
    public boolean isUrgent(String address) {
        return mTableFetch.isRequestPending(address)
                || mNewerTables.isRequestPending(address)
                || mUnconfirmedReplies.contains(address);
    }

    @Override
    public void onReply(
            String address,
            SyncReply reply,
            Map<BackendId, Integer> ownLoadAtRequest,
            long requestNanos) {
        long nowNanos = mLoop.nowNanos();
        if (!reply.getServers().isEmpty()) {
            int leftOut = mState.mergeServers(nowNanos, reply.getServers());
            if (leftOut > 0) {
                mLog.instanceEvent("server_entries_left_out")
                        .put("controller", address)
                        .put("entries", leftOut)
                        .write();
            }
        }
        mState.learnPrefixUses(nowNanos, reply.getPrefixUses());
        if (reply.isSetCapacity()) {
            mState.adoptObservations(reply.getCapacity());
        }
        if (reply.isSetQuarantine()) {
            mQuarantine.adopt(nowNanos, address, reply.getQuarantine());
        }
        mState.updateFleetLoad(
                nowNanos,
                LoadSum.of(
                        address,
                        requestNanos,
                        reply.getFleetInFlight(),
                        ownLoadAtRequest,
                        reply.getGateways()));
        if (hasTable(reply)) {
            mUnconfirmedReplies.add(address);
        }
        mQueues.adopt(address, reply);
        mQueues.serveAll();
        mNewerTables.recordReply(nowNanos, address, reply, requestNanos);
        mDutyReports.recordReply(nowNanos, address, reply, requestNanos);
        if (reply.isCaughtUp()) {
            adoptConfirmed(nowNanos, address, reply, requestNanos);
        } else {
            logUnconfirmed(address, reply);
            followUnconfirmedControllers(reply);
            adoptUnconfirmed(nowNanos, address, reply);
        }
        updateStanding(nowNanos, address, reply.getGateways());
    }

    private static boolean hasTable(SyncReply reply) {
        return reply.isSetTableDocument()
                || (reply.isSetLoggedTables()
                        && reply.getLoggedTables().stream()
                                .anyMatch(LoggedTableData::isSetDocument));
    }

    private void adoptConfirmed(long nowNanos, String address, SyncReply reply, long requestNanos) {
        mUnconfirmedVersions.remove(address);
        mFreshness.recordReport(nowNanos, reply.getTableVersion());
        RouteTable table = mView.table();
        if (reply.getTableVersion() > mView.tableVersion()) {
            table = committedTable(nowNanos, address, reply);
        }
        // Unconfirmed overrides may never have been committed, so the first confirmed ones replace
        // them regardless of their revision.
        boolean adoptOverrides =
                reply.isSetFacts()
                        && (!mHasCommittedView || reply.getRevision() > mView.revision());
        mHasCommittedView = true;
        mUnconfirmedState = null;
        mUnsettledStates.clear();
        adopt(nowNanos, address, table, adoptOverrides ? reply : null);
        recordConfirmation(nowNanos, address, reply, requestNanos);
        if (!reply.getControllers().isEmpty()) {
            followControllers(Set.copyOf(reply.getControllers()));
        }
    }

    private void followControllers(Set<String> controllers) {
        if (!controllers.equals(mControllers)) {
            mControllers = controllers;
            updateLinks();
        }
    }

    /**
     * Follows the members of the log that controllers report from their disks, until one has
     * confirmed them. The seeds may hold too few voters for a majority, and if all gateways wait
     * for the seeds to confirm a view after a loss of power, those controllers are overloaded.
     */
    private void followUnconfirmedControllers(SyncReply reply) {
        if (!mHasCommittedView) {
            Set<String> controllers = new HashSet<>(mControllers);
            controllers.addAll(reply.getControllers());
            followControllers(Set.copyOf(controllers));
        }
    }

    /**
     * Returns the newer table that a controller has committed, if the reply holds it or it was
     * fetched before it was known to be committed. Otherwise it is to be fetched.
     */
    private @Nullable RouteTable committedTable(long nowNanos, String address, SyncReply reply) {
        if (reply.isSetTableDocument()) {
            RouteTable parsed = parseTable(reply.getTableVersion(), reply.getTableDocument());
            return parsed == null ? mView.table() : parsed;
        }
        RouteTable fetched = mNewerTables.table(reply.getTableVersion());
        if (fetched != null) {
            return fetched;
        }
        if (!mTableFetch.recordLeftOut(address)) {
            mTableFetch.offer(nowNanos, address, reply.getTableVersion(), true);
        }
        return mView.table();
    }

    /** Publishes what is known of the table in force after a reply was handled. */
    private void updateStanding(long nowNanos, String address, int gateways) {
        RouteTable table = mView.table();
        if (table != null) {
            Long confirmedNanos = mNewerTables.confirmedNanos(table.version());
            if (confirmedNanos != null) {
                mFreshness.recordTableConfirmation(confirmedNanos);
            }
        }
        Long confirmedNanos = mFreshness.tableConfirmedNanos();
        mNewerTables.fetchMissing(nowNanos, address, mView.tableVersion(), confirmedNanos);
        TableStanding before = mStanding;
        TableStanding next =
                mNewerTables.standing(table, confirmedNanos, mFreshness.newestVersion(), gateways);
        mStanding = next;
        logDoubt(nowNanos, before, next);
    }

    /** Writes a line when the table in force is doubted, and when it no longer is. */
    private void logDoubt(long nowNanos, TableStanding before, TableStanding next) {
        boolean wasDoubted = before.trust(nowNanos) == TableTrust.DOUBTED;
        boolean isDoubted = next.trust(nowNanos) == TableTrust.DOUBTED;
        if (wasDoubted == isDoubted) {
            return;
        }
        mLog.instanceEvent(isDoubted ? "table_doubted" : "table_trusted")
                .put("table", mView.tableVersion())
                .put("newer", next.newer().size())
                .put("complete", next.hasAllNewer() ? "yes" : "no")
                .put("newest_table", mFreshness.newestVersion())
                .put("confirmed_ms", mFreshness.ageNanos(nowNanos) / NANOS_PER_MILLI)
                .write();
    }

    private void recordConfirmation(
            long nowNanos, String address, SyncReply reply, long requestNanos) {
        boolean wasConfirmed = mFreshness.isConfirmed(nowNanos);
        long ageNanos = mFreshness.ageNanos(nowNanos);
        mFreshness.recordConfirmation(reply, requestNanos, mView.tableVersion());
        if (!wasConfirmed && mFreshness.isConfirmed(nowNanos)) {
            mLog.instanceEvent("view_confirmed")
                    .put("controller", address)
                    .put("table", mView.tableVersion())
                    .put("newest_table", mFreshness.newestVersion())
                    .put("confirmed_ms", ageNanos / NANOS_PER_MILLI)
                    .write();
        }
    }

    /** Writes a line for each table that a controller reports without being caught up. */
    private void logUnconfirmed(String address, SyncReply reply) {
        Long logged = mUnconfirmedVersions.put(address, reply.getTableVersion());
        if (logged != null && logged == reply.getTableVersion()) {
            return;
        }
        mLog.instanceEvent("unconfirmed_report")
                .put("controller", address)
                .put("reported_table", reply.getTableVersion())
                .put("voters", reply.getVoters())
                .put("table", mView.tableVersion())
                .write();
    }

    /**
     * Adopts state that a controller has only read from its disk. This is done only while no
     * controller has confirmed any state, and only once a majority of the voters has reported. The
     * newest table that a majority has on its disks is used; newer ones may be in force as well, or
     * lost. After a restart of all processes, this lets the gateway serve before the controllers
     * have elected a leader.
     */
    private void adoptUnconfirmed(long nowNanos, String address, SyncReply reply) {
        if (mHasCommittedView) {
            adoptSettled(nowNanos, address, reply);
            return;
        }
        if (!reply.isSetLoggedTableVersion()) {
            return;
        }
        SyncReply newest = mUnconfirmedState;
        if (reply.isSetFacts() && (newest == null || reply.getRevision() > newest.getRevision())) {
            newest = reply;
            mUnconfirmedState = reply;
        }
        RouteTable table = mView.table();
        RouteTable onMajority = mNewerTables.newestOnMajority();
        if (onMajority != null && onMajority.version() > mView.tableVersion()) {
            table = onMajority;
        }
        if (table == null) {
            return;
        }
        boolean adoptOverrides = newest != null && newest.getRevision() > mView.revision();
        adopt(nowNanos, address, table, adoptOverrides ? newest : null);
    }

    /** Adopts what no leader has confirmed yet, but cannot be lost any more. */
    private void adoptSettled(long nowNanos, String address, SyncReply reply) {
        RouteTable table = mView.table();
        RouteTable settled = mNewerTables.newestSettled();
        if (settled != null && settled.version() > mView.tableVersion()) {
            table = settled;
        }
        if (reply.isSetFacts() && reply.isSetSettledRevision()) {
            mUnsettledStates.put(reply.getSettledRevision(), reply);
        }
        SyncReply state = mUnsettledStates.get(mNewerTables.newestSettledRevision());
        boolean adoptOverrides = state != null && state.getRevision() > mView.revision();
        adopt(nowNanos, address, table, adoptOverrides ? state : null);
    }

    /**
     * Adopts a table and overrides.
     *
     * @param state the state that holds the overrides, or null to keep those in force
     */
    private void adopt(
            long nowNanos, String address, @Nullable RouteTable table, @Nullable SyncReply state) {
        GatewayView view = mView;
        if (table == view.table() && state == null) {
            return;
        }
        RoutingOverrides overrides =
                state == null ? view.overrides() : RoutingOverrides.of(state.getFacts());
        long revision = state == null ? view.revision() : state.getRevision();
        GatewayView next = new GatewayView(table, overrides, revision);
        mView = next;
        if (next.tableVersion() >= mTableFetch.expectedVersion()) {
            mTableFetch.clear();
        }
        mNewerTables.dropUpTo(next.tableVersion());
        mState.adoptView(nowNanos, next);
        mLog.instanceEvent("view")
                .put("table", next.tableVersion())
                .put("revision", revision)
                .put("evacuated", overrides.evacuatedZones().size())
                .put("moves", overrides.moves().size())
                .put("controller", address)
                .put("confirmed", String.valueOf(mHasCommittedView))
                .put("newest_table", mFreshness.newestVersion())
                .put("newest_age_ms", mFreshness.newestAgeNanos(nowNanos) / NANOS_PER_MILLI)
                .write();
    }

    private @Nullable RouteTable parseTable(LoggedTableData data) {
        return parseTable(data.getVersion(), data.getDocument());
    }

    private @Nullable RouteTable parseTable(long version, byte[] document) {
        try {
            return mProtocol.parseRouteTable(Deflate.inflate(document));
        } catch (HemlockrackException e) {
            mLog.instanceEvent("table_refused")
                    .put("table", version)
                    .put("cause", String.valueOf(e.getMessage()))
                    .write();
            return null;
        }
    }

    @Override
    public void onReachabilityChanged(String address, boolean reachable) {
        Set<String> controllers = new TreeSet<>(mReachableControllers);
        if (reachable) {
            controllers.add(address);
        } else {
            controllers.remove(address);
        }
        mReachableControllers = List.copyOf(controllers);
        if (!reachable) {
            mUnconfirmedReplies.remove(address);
            mNewerTables.forget(address);
            mQuarantine.forget(mLoop.nowNanos(), address);
        }
        if (!reachable && mPrefixUseSource.equals(address)) {
            mPrefixUseSource = "";
        }
    }

    /** Removes servers whose heartbeats have stopped. Called on the loop. */
    void expireServers() {
        // Heartbeats arrive through the controllers. While no controller answers, missing
        // heartbeats do not mean that servers have failed.
        if (!mFreshness.isConfirmed(mLoop.nowNanos())) {
            return;
        }
        for (RegisteredServer server : mState.expireServers(mLoop.nowNanos())) {
            mLog.instanceEvent("server_expired")
                    .put("server", server.registration().id().value())
                    .write();
        }
    }
}
