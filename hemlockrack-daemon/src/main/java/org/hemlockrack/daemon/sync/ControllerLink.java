package org.hemlockrack.daemon.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.CrashEvidenceData;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.PrefixUseData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VerdictData;
import org.jspecify.annotations.Nullable;

/** Exchanges state with one controller periodically. Confined to the loop. */
public final class ControllerLink {
    /**
     * Shortest pause between two exchanges. While it applies, the loads of other gateways are
     * hardly older than this.
     */
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Longest pause between exchanges; acknowledged changes must reach all gateways within 2 s. */
    private static final long MAX_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /**
     * Pause for each gateway of the fleet, so that a controller answers about 100 exchanges a
     * second.
     */
    private static final long PERIOD_PER_GATEWAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Largest number of prefix uses in one message, about 2 KB. A restarted controller sends all
     * uses to all gateways; in one message each, they would saturate its link for seconds.
     */
    public static final int MAX_PREFIX_USES = 64;

    /** Observations of servers in a request, about 0.5 KB; a gateway sees a few a second. */
    private static final int MAX_SENT_OBSERVATIONS = 16;

    /** Same in a reply, about 2 KB; one controller sends them to a gateway. */
    public static final int MAX_RECEIVED_OBSERVATIONS = 64;

    /** Largest number of crash reports in one message; a crash cuts some dozens of requests. */
    private static final int MAX_EVIDENCE = 128;

    private final EventLoop mLoop;
    private final PeerNetwork mNetwork;
    private final String mAddress;
    private final Delegate mDelegate;
    private final DecisionLog mLog;
    private long mRegistryEpoch;
    private long mRegistryRevision;
    private long mReceivedUsesPosition;
    private long mSentUsesPosition;
    private long mSentEvidencePosition;
    private long mSentObservationsPosition;
    private long mReceivedObservationsPosition;
    private long mQuarantineRevision;
    private boolean mSendsVerdicts;
    private long mPeriodNanos = MIN_PERIOD_NANOS;
    private @Nullable ScheduledFuture<?> mNextExchange;
    private long mStartedNanos;
    private boolean mInExchange;
    private boolean mSoon;
    private boolean mReachable;
    private boolean mStopped;

    /** What a request reported, and when it was sent. */
    private record Sent(
            long atNanos,
            Map<BackendId, Integer> ownLoad,
            long nextUsesPosition,
            long nextEvidencePosition,
            long nextObservationsPosition) {}

    /** Creates requests and handles replies. Called on the loop. */
    public interface Delegate {
        /**
         * Creates a request. The link adds the position in the registry and the prefix uses.
         *
         * @param address the controller
         * @param ownLoad requests that this instance has in progress at each server
         * @return the request
         */
        SyncRequest createRequest(String address, Map<BackendId, Integer> ownLoad);

        /** Returns whether the next exchange with a controller must start without a pause. */
        default boolean isUrgent(String address) {
            return false;
        }

        /**
         * Returns the number of controllers that this instance exchanges state with, if it has no
         * committed state yet, otherwise 0. After a restart of all instances the controllers have
         * no leader, do not know how many gateways there are, and need their processor time for the
         * election. So the exchanges with all of them together are as frequent then as those with a
         * single one otherwise.
         */
        default int controllersWithoutState() {
            return 0;
        }

        /** Returns the requests that this instance has in progress at each server. */
        Map<BackendId, Integer> ownLoad();

        /**
         * Returns prefix uses of this instance.
         *
         * @param position position from which uses are returned
         * @param maxUses largest number of uses
         * @return the uses and the position after them
         */
        default PagedLog.Page<PrefixUseData> prefixUsesSince(long position, int maxUses) {
            return PagedLog.Page.empty();
        }

        /**
         * Returns what this instance saw of crashing servers.
         *
         * @param position position from which evidence is returned
         * @param maxEntries largest number of entries
         * @return the evidence and the position after it
         */
        default PagedLog.Page<CrashEvidenceData> crashEvidenceSince(long position, int maxEntries) {
            return PagedLog.Page.empty();
        }

        /**
         * Returns what this instance saw of the servers' speed.
         *
         * @param position position from which observations are returned
         * @param maxEntries largest number of entries
         * @return the observations and the position after them
         */
        default PagedLog.Page<CapacityData> observationsSince(long position, int maxEntries) {
            return PagedLog.Page.empty();
        }

        /** Returns the decisions to hold prompt parts back, for a controller that restarted. */
        default List<VerdictData> verdicts() {
            return List.of();
        }

        /** Returns whether this instance fetches prefix uses from a controller. */
        default boolean wantsPrefixUses(String address) {
            return false;
        }

        /**
         * Handles a reply.
         *
         * @param address the controller
         * @param reply its reply
         * @param ownLoadAtRequest requests in progress that the request reported
         * @param requestNanos monotonic time of the request; the reply may be as old as that
         */
        void onReply(
                String address,
                SyncReply reply,
                Map<BackendId, Integer> ownLoadAtRequest,
                long requestNanos);

        /**
         * Called when a controller has become reachable or unreachable.
         *
         * @param address the controller
         * @param reachable whether it answers
         */
        default void onReachabilityChanged(String address, boolean reachable) {}
    }

    private ControllerLink(
            EventLoop loop,
            PeerNetwork network,
            String address,
            Delegate delegate,
            DecisionLog log) {
        mLog = log;
        mLoop = loop;
        mNetwork = network;
        mAddress = address;
        mDelegate = delegate;
    }

    /**
     * Starts a link.
     *
     * @param loop runs the exchanges
     * @param network connections to other instances
     * @param address peer address of the controller
     * @param delegate creates requests and handles replies
     * @param log receives changes of the controller's reachability
     * @return the link
     */
    public static ControllerLink start(
            EventLoop loop,
            PeerNetwork network,
            String address,
            Delegate delegate,
            DecisionLog log) {
        ControllerLink link = new ControllerLink(loop, network, address, delegate, log);
        link.exchange();
        return link;
    }

    /** Starts the next exchange as early as the shortest pause allows, to report news. */
    void exchangeSoon() {
        mSoon = true;
        if (!mInExchange) {
            scheduleNext(mPeriodNanos);
        }
    }

    private void scheduleNext(long pauseNanos) {
        if (mNextExchange != null) {
            mNextExchange.cancel(false);
        }
        long nowNanos = mLoop.nowNanos();
        long nextNanos = nowNanos + pauseNanos;
        if (mSoon) {
            long soonNanos = Math.max(nowNanos, mStartedNanos + MIN_PERIOD_NANOS);
            nextNanos = soonNanos - nextNanos < 0 ? soonNanos : nextNanos;
        }
        mNextExchange = mLoop.scheduleAt(nextNanos, this::exchange);
    }

    /** Ends the exchanges. */
    public void stop() {
        mStopped = true;
    }

    private void exchange() {
        if (mStopped) {
            return;
        }
        mInExchange = true;
        mSoon = false;
        mStartedNanos = mLoop.nowNanos();
        Map<BackendId, Integer> ownLoad = mDelegate.ownLoad();
        SyncRequest request = mDelegate.createRequest(mAddress, ownLoad);
        request.setRegistryEpoch(mRegistryEpoch);
        request.setRegistryRevision(mRegistryRevision);
        PagedLog.Page<PrefixUseData> uses =
                mDelegate.prefixUsesSince(mSentUsesPosition, MAX_PREFIX_USES);
        request.setPrefixUses(uses.entries());
        boolean wantsPrefixUses = mDelegate.wantsPrefixUses(mAddress);
        request.setPrefixPosition(wantsPrefixUses ? mReceivedUsesPosition : -1);
        PagedLog.Page<CrashEvidenceData> evidence =
                mDelegate.crashEvidenceSince(mSentEvidencePosition, MAX_EVIDENCE);
        request.setCrashEvidence(evidence.entries());
        PagedLog.Page<CapacityData> observations =
                mDelegate.observationsSince(mSentObservationsPosition, MAX_SENT_OBSERVATIONS);
        if (!observations.entries().isEmpty()) {
            request.setCapacity(observations.entries());
        }
        if (wantsPrefixUses) {
            request.setCapacityPosition(mReceivedObservationsPosition);
        }
        request.setQuarantineRevision(mQuarantineRevision);
        request.setVerdicts(mSendsVerdicts ? mDelegate.verdicts() : List.of());
        Sent sent =
                new Sent(
                        mLoop.nowNanos(),
                        ownLoad,
                        uses.next(),
                        evidence.next(),
                        observations.next());
        mNetwork.callAsync(mAddress, client -> client.sync(request))
                .whenComplete(
                        (reply, fault) -> mLoop.execute(() -> onExchangeEnded(reply, fault, sent)));
    }

    /**
     * Returns the pause between two exchanges of a gateway with a controller.
     *
     * @param gateways number of gateways
     */
    public static long periodNanos(int gateways) {
        long nanos = gateways * PERIOD_PER_GATEWAY_NANOS;
        return Math.max(MIN_PERIOD_NANOS, Math.min(MAX_PERIOD_NANOS, nanos));
    }

    private void onExchangeEnded(@Nullable SyncReply reply, @Nullable Throwable fault, Sent sent) {
        if (reply != null) {
            mPeriodNanos = periodNanos(reply.getGateways());
        }
        if (mReachable != (reply != null)) {
            mReachable = reply != null;
            mDelegate.onReachabilityChanged(mAddress, mReachable);
            mLog.instanceEvent(mReachable ? "controller_reached" : "controller_lost")
                    .put("controller", mAddress)
                    .put("cause", fault == null ? null : String.valueOf(fault.getMessage()))
                    .write();
        }
        mInExchange = false;
        try {
            if (reply != null) {
                applyReply(reply, sent);
            }
        } finally {
            // A reply that cannot be applied must not end the exchanges.
            scheduleNext(pauseNanos(reply != null));
        }
    }

    private long pauseNanos(boolean isAnswered) {
        if (!isAnswered) {
            return mPeriodNanos;
        }
        if (mDelegate.isUrgent(mAddress)) {
            return 0;
        }
        long startNanos = mDelegate.controllersWithoutState() * MIN_PERIOD_NANOS;
        return Math.max(mPeriodNanos, Math.min(startNanos, MAX_PERIOD_NANOS));
    }

    private void applyReply(SyncReply reply, Sent sent) {
        mDelegate.onReply(mAddress, reply, sent.ownLoad(), sent.atNanos());
        boolean isNew = mRegistryEpoch != reply.getRegistryEpoch();
        boolean restarted = isNew && mRegistryEpoch != 0;
        mReceivedUsesPosition = reply.getPrefixPosition();
        mSentUsesPosition = restarted ? 0 : sent.nextUsesPosition();
        mSentEvidencePosition = restarted ? 0 : sent.nextEvidencePosition();
        // Observations of before a restart of the controller are too old to be sent again.
        mSentObservationsPosition = sent.nextObservationsPosition();
        mReceivedObservationsPosition = reply.getCapacityPosition();
        mSendsVerdicts = isNew;
        if (reply.isSetQuarantine()) {
            mQuarantineRevision = reply.getQuarantine().getRevision();
        }
        mRegistryEpoch = reply.getRegistryEpoch();
        mRegistryRevision = reply.getRegistryRevision();
    }

    /**
     * Converts the requests in progress to Thrift data.
     *
     * @param load requests in progress at each server
     * @return the Thrift data
     */
    public static List<LoadData> toLoadData(Map<BackendId, Integer> load) {
        List<LoadData> data = new ArrayList<>(load.size());
        load.forEach((id, requests) -> data.add(new LoadData(id.value(), requests)));
        return data;
    }
}
