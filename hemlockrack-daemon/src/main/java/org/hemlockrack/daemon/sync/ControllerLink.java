package org.hemlockrack.daemon.sync;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.dispatch.PrefixUseLog;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/** Exchanges state with one controller, again and again. Confined to the loop. */
public final class ControllerLink {
    /** Shortest pause between two exchanges; loads of other gateways are hardly older. */
    private static final long MIN_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(100);

    /** Longest pause; what was acknowledged must reach all gateways within 2 s. */
    private static final long MAX_PERIOD_NANOS = TimeUnit.MILLISECONDS.toNanos(800);

    /** Pause for each gateway, so that a controller answers about 100 exchanges a second. */
    private static final long PERIOD_PER_GATEWAY_NANOS = TimeUnit.MILLISECONDS.toNanos(10);

    /**
     * Most prefix uses in one message, about 2 KB. A restarted controller tells all gateways all
     * uses; in one message each, they would fill its link for seconds.
     */
    public static final int MAX_USES = 64;

    private final Loop mLoop;
    private final PeerNetwork mNetwork;
    private final String mAddress;
    private final Owner mOwner;
    private final DecisionLog mLog;
    private long mRegistryEpoch;
    private long mRegistryRevision;
    private long mPrefixPosition;
    private long mUsesPosition;
    private long mPeriodNanos = MIN_PERIOD_NANOS;
    private boolean mReachable;
    private boolean mStopped;

    /** Supplies requests and takes replies; called on the loop. */
    public interface Owner {
        /**
         * Returns a request without the registry fields.
         *
         * @param address the controller
         * @param ownLoad requests that this instance has in progress
         */
        SyncRequest request(String address, Map<BackendId, Integer> ownLoad);

        /** Returns whether the next exchange with a controller must not wait for its turn. */
        default boolean isUrgent(String address) {
            return false;
        }

        /** Returns the requests that this instance has in progress at each server. */
        Map<BackendId, Integer> ownLoad();

        /** Returns prefix uses of this instance from a position on. */
        default PrefixUseLog.Page prefixUses(long position, int most) {
            return PrefixUseLog.Page.EMPTY;
        }

        /** Returns whether this instance learns prefix uses from a controller. */
        default boolean followsPrefixes(String address) {
            return false;
        }

        /**
         * Takes a reply.
         *
         * @param address the controller
         * @param reply its reply
         * @param ownAtRequest own load that the request stated
         */
        void replied(String address, SyncReply reply, Map<BackendId, Integer> ownAtRequest);

        /**
         * Told when the controller was lost or reached again.
         *
         * @param address the controller
         * @param reachable whether it answers
         */
        default void reachable(String address, boolean reachable) {}
    }

    private ControllerLink(
            Loop loop, PeerNetwork network, String address, Owner owner, DecisionLog log) {
        mLog = log;
        mLoop = loop;
        mNetwork = network;
        mAddress = address;
        mOwner = owner;
    }

    /**
     * Starts exchanging.
     *
     * @param loop runs the exchanges
     * @param network connections to other instances
     * @param address peer address of the controller
     * @param owner supplies requests and takes replies
     * @param log where losses and returns of the controller are noted
     * @return the link
     */
    public static ControllerLink start(
            Loop loop, PeerNetwork network, String address, Owner owner, DecisionLog log) {
        ControllerLink link = new ControllerLink(loop, network, address, owner, log);
        link.exchange();
        return link;
    }

    /** Ends the exchanges. */
    public void stop() {
        mStopped = true;
    }

    private void exchange() {
        if (mStopped) {
            return;
        }
        Map<BackendId, Integer> own = mOwner.ownLoad();
        SyncRequest request = mOwner.request(mAddress, own);
        request.setRegistryEpoch(mRegistryEpoch);
        request.setRegistryRevision(mRegistryRevision);
        PrefixUseLog.Page uses = mOwner.prefixUses(mUsesPosition, MAX_USES);
        request.setPrefixUses(uses.uses());
        boolean follows = mOwner.followsPrefixes(mAddress);
        request.setPrefixPosition(follows ? mPrefixPosition : -1);
        mNetwork.ask(mAddress, client -> client.sync(request))
                .whenComplete(
                        (reply, fault) ->
                                mLoop.execute(() -> ended(reply, fault, own, uses.next())));
    }

    private static long periodNanos(int gateways) {
        long nanos = gateways * PERIOD_PER_GATEWAY_NANOS;
        return Math.max(MIN_PERIOD_NANOS, Math.min(MAX_PERIOD_NANOS, nanos));
    }

    private void ended(
            @Nullable SyncReply reply,
            @Nullable Throwable fault,
            Map<BackendId, Integer> own,
            long usesPosition) {
        if (reply != null) {
            mPeriodNanos = periodNanos(reply.getGateways());
        }
        if (mReachable != (reply != null)) {
            mReachable = reply != null;
            mOwner.reachable(mAddress, mReachable);
            mLog.state(mReachable ? "controller_reached" : "controller_lost")
                    .put("controller", mAddress)
                    .put("cause", fault == null ? null : String.valueOf(fault.getMessage()))
                    .write();
        }
        if (reply != null) {
            take(reply, own, usesPosition);
        }
        long pauseNanos = reply != null && mOwner.isUrgent(mAddress) ? 0 : mPeriodNanos;
        mLoop.schedule(mLoop.nowNanos() + pauseNanos, this::exchange);
    }

    private void take(SyncReply reply, Map<BackendId, Integer> own, long usesPosition) {
        mOwner.replied(mAddress, reply, own);
        boolean restarted = mRegistryEpoch != reply.getRegistryEpoch();
        mPrefixPosition = reply.getPrefixPosition();
        mUsesPosition = restarted && mRegistryEpoch != 0 ? 0 : usesPosition;
        mRegistryEpoch = reply.getRegistryEpoch();
        mRegistryRevision = reply.getRegistryRevision();
    }

    /**
     * Converts a load.
     *
     * @param load requests in progress at each server
     * @return the same as Thrift data
     */
    public static List<LoadData> toData(Map<BackendId, Integer> load) {
        List<LoadData> data = new ArrayList<>(load.size());
        load.forEach((id, requests) -> data.add(new LoadData(id.value(), requests)));
        return data;
    }
}
