package org.hemlockrack.daemon.gateway;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.Deflate;
import org.hemlockrack.control.DurableTableVersions;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.daemon.sync.ControllerLinks;
import org.hemlockrack.dispatch.PrefixUseLog;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.routing.RouteTable;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/**
 * Keeps a gateway's view up to date with all controllers that it knows. The table version and the
 * revision of the control state never go back.
 */
final class FleetFollower implements ControllerLink.Owner {
    /** Without news from a controller for this long, the view may be superseded. */
    private static final long STALE_NANOS = TimeUnit.SECONDS.toNanos(2);

    private static final double NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);

    private final Loop mLoop;
    private final String mSelf;
    private final Dialect mDialect;
    private final SharedPool mPool;
    private final DecisionLog mLog;
    private final ControllerLinks mLinks;
    private Set<String> mSeeds = Set.of();
    private Set<String> mMembers = Set.of();
    private String mPrefixSource = "";
    private final TableSource mTableSource = new TableSource();
    private final DurableTableVersions mDurable = DurableTableVersions.create();

    private volatile GatewayView mView = GatewayView.EMPTY;
    private volatile long mFreshNanos;
    private volatile boolean mEverFresh;

    FleetFollower(
            Loop loop,
            PeerNetwork network,
            String self,
            Dialect dialect,
            SharedPool pool,
            DecisionLog log) {
        mLoop = loop;
        mLinks = ControllerLinks.create(loop, network, this, log);
        mSelf = self;
        mDialect = dialect;
        mPool = pool;
        mLog = log;
        mFreshNanos = loop.nowNanos();
    }

    GatewayView view() {
        return mView;
    }

    /** Returns whether a controller has confirmed the view a short time ago. */
    boolean isFresh() {
        return mEverFresh && mLoop.nowNanos() - mFreshNanos < STALE_NANOS;
    }

    /** Returns the time since a controller has confirmed the view, or since the start. */
    double ageSeconds() {
        return (mLoop.nowNanos() - mFreshNanos) / NANOS_PER_SECOND;
    }

    /** Sets the controllers that the settings name. Called on the loop. */
    void seeds(List<String> addresses) {
        mSeeds = Set.copyOf(addresses);
        relink();
    }

    private void relink() {
        Set<String> wanted = new HashSet<>(mSeeds);
        wanted.addAll(mMembers);
        mLinks.follow(wanted);
    }

    @Override
    public Map<BackendId, Integer> ownLoad() {
        return mPool.ownLoad();
    }

    @Override
    public PrefixUseLog.Page prefixUses(long position, int most) {
        return mPool.usesSince(position, most);
    }

    /** Every controller hears of all uses, so one that answers is enough. */
    @Override
    public boolean followsPrefixes(String address) {
        if (mPrefixSource.isEmpty()) {
            mPrefixSource = address;
        }
        return mPrefixSource.equals(address);
    }

    @Override
    public SyncRequest request(String address, Map<BackendId, Integer> ownLoad) {
        GatewayView view = mView;
        SyncRequest request = new SyncRequest();
        request.setSender(mSelf);
        request.setGateway(true);
        request.setHaveRevision(mEverFresh ? view.revision() : -1);
        request.setHaveTableVersion(
                mTableSource.ask(address) ? view.tableVersion() : Long.MAX_VALUE);
        request.setInFlight(ControllerLink.toData(ownLoad));
        request.setCounts(mPool.counts());
        return request;
    }

    @Override
    public boolean isUrgent(String address) {
        return mTableSource.isNew(address);
    }

    @Override
    public void replied(String address, SyncReply reply, Map<BackendId, Integer> ownAtRequest) {
        long nowNanos = mLoop.nowNanos();
        if (!reply.getServers().isEmpty()) {
            mPool.merge(nowNanos, reply.getServers());
        }
        mPool.learn(nowNanos, reply.getPrefixUses());
        mPool.fleetLoad(reply.getFleetInFlight(), ownAtRequest, reply.getGateways());
        if (!reply.isSetTableDocument() && reply.getTableVersion() > mView.tableVersion()) {
            boolean adoptable = reply.isCaughtUp() || !mEverFresh;
            mTableSource.offer(nowNanos, address, reply.getTableVersion(), adoptable);
        }
        if (!reply.isCaughtUp()) {
            adoptDurable(nowNanos, address, reply);
            return;
        }
        adopt(nowNanos, reply);
        mFreshNanos = nowNanos;
        mEverFresh = true;
        if (!reply.getControllers().isEmpty()) {
            Set<String> members = Set.copyOf(reply.getControllers());
            if (!members.equals(mMembers)) {
                mMembers = members;
                relink();
            }
        }
    }

    /**
     * Before a gateway has any confirmed state, it takes what a majority of the voters holds on
     * disk. After a loss of all processes this saves the time of an election.
     */
    private void adoptDurable(long nowNanos, String address, SyncReply reply) {
        if (mEverFresh || reply.getTableVersion() == 0) {
            return;
        }
        mDurable.recordReport(address, reply.getTableVersion());
        if (mDurable.isNewestOfMajority(reply.getTableVersion(), reply.getVoters())) {
            adopt(nowNanos, reply);
        }
    }

    private void adopt(long nowNanos, SyncReply reply) {
        GatewayView view = mView;
        RouteTable table = view.table();
        if (reply.getTableVersion() > view.tableVersion() && reply.isSetTableDocument()) {
            table = readTable(reply);
        }
        // Facts from disk may never have been committed, so the first confirmed ones replace them.
        boolean first = reply.isCaughtUp() && !mEverFresh;
        boolean newer = reply.isSetFacts() && (first || reply.getRevision() > view.revision());
        if (table == view.table() && !newer) {
            return;
        }
        RoutingOverrides facts = newer ? RoutingOverrides.of(reply.getFacts()) : view.overrides();
        long revision = newer ? reply.getRevision() : view.revision();
        GatewayView next = new GatewayView(table, facts, revision);
        mView = next;
        if (next.tableVersion() >= mTableSource.version()) {
            mTableSource.clear();
        }
        mPool.adopt(nowNanos, next);
        mLog.state("view")
                .put("table", next.tableVersion())
                .put("revision", revision)
                .put("evacuated", facts.evacuatedZones().size())
                .put("moves", facts.moves().size())
                .write();
    }

    private @Nullable RouteTable readTable(SyncReply reply) {
        try {
            return mDialect.readTable(Deflate.inflate(reply.getTableDocument()));
        } catch (HemlockrackException e) {
            mLog.state("table_refused")
                    .put("table", reply.getTableVersion())
                    .put("cause", String.valueOf(e.getMessage()))
                    .write();
            return mView.table();
        }
    }

    @Override
    public void reachable(String address, boolean reachable) {
        if (!reachable && mPrefixSource.equals(address)) {
            mPrefixSource = "";
        }
    }

    /** Drops servers whose heartbeats have stopped. Called on the loop. */
    void expire() {
        // While no controller answers, heartbeats stop arriving here though servers may be well.
        if (!isFresh()) {
            return;
        }
        for (RegisteredServer server : mPool.expire(mLoop.nowNanos())) {
            mLog.state("server_expired").put("server", server.registration().id().value()).write();
        }
    }
}
