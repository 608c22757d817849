package org.hemlockrack.daemon.config;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;
import org.hemlockrack.config.ConfigReplica;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.ConfigReply;

/**
 * Keeps the configuration in force: takes versions from the local log on voters, else pulls them
 * from a peer when gossip tells a higher number. Confined to the loop except {@link #current()} and
 * {@link #known()}.
 */
public final class ConfigService {
    private static final long CHECK_MILLIS = 200;

    /** After this long without any answer at start, the instance says that it is not ready. */
    private static final long START_WAIT_NANOS = 5_000_000_000L;

    /**
     * A version and its configuration.
     *
     * @param version the number, 0 before the first
     * @param configuration the configuration
     */
    public record Current(long version, Configuration configuration) {}

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final EventLog mLog;
    private final ConfigReplica mReplica = ConfigReplica.create();
    private final List<Consumer<Current>> mListeners = new ArrayList<>();
    private final long mStartedNanos;

    private volatile Current mCurrent = new Current(0, Configuration.empty());
    private volatile boolean mAsked;
    private boolean mPulling;
    private boolean mWarned;
    private int mNextPeer;

    private ConfigService(
            EventLoop loop, FleetMembership fleet, PeerNetwork network, EventLog log) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mLog = log;
        mStartedNanos = loop.nowNanos();
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param log the log
     * @return the service
     */
    public static ConfigService create(
            EventLoop loop, FleetMembership fleet, PeerNetwork network, EventLog log) {
        ConfigService service = new ConfigService(loop, fleet, network, log);
        loop.scheduleWithFixedDelay(CHECK_MILLIS, service::pullIfBehind);
        return service;
    }

    /** Adds a listener that is called on the loop with each new version. */
    public void onChange(Consumer<Current> listener) {
        mListeners.add(listener);
    }

    /** Returns the version in force here. Safe for use from any thread. */
    public Current current() {
        return mCurrent;
    }

    /** Returns whether the highest version that can be learned is in force. */
    public boolean settled() {
        return mAsked
                && mCurrent.version() > 0
                && mCurrent.version() >= mFleet.view().configVersion();
    }

    /**
     * Returns whether {@link #current()} is more than the lack of any information after a start.
     * Safe for use from any thread.
     */
    public boolean known() {
        return mAsked;
    }

    /** Takes a version that the local log applied; 0 if there is none yet. */
    public void offer(long version, Configuration configuration) {
        if (version > 0 && mReplica.acceptIfNewer(version, configuration)) {
            changed();
        }
        // Set last, or a reader of another thread would take the old version for a known one.
        mAsked = true;
    }

    private void changed() {
        mCurrent = new Current(mReplica.version(), mReplica.configuration());
        mLog.log(LogEvent.CONFIG_IN_FORCE, "version %d", mCurrent.version());
        mFleet.handleEvent(
                new MembershipInput.PublishFact(Fact.ofConfigVersion(mCurrent.version())));
        mListeners.forEach(listener -> listener.accept(mCurrent));
    }

    private void pullIfBehind() {
        boolean behind = mFleet.view().configVersion() > mCurrent.version();
        if (mPulling || mAsked && !behind) {
            return;
        }
        warnIfUnknown();
        List<Member> peers = peers();
        if (peers.isEmpty()) {
            return;
        }
        Member peer = peers.get(mNextPeer++ % peers.size());
        mPulling = true;
        long haveVersion = mCurrent.version();
        mNetwork.callAsync(peer.info().peerAddress(), client -> client.fetchConfig(haveVersion))
                .whenComplete((reply, fault) -> mLoop.execute(() -> pulled(peer.id(), reply)));
    }

    private List<Member> peers() {
        List<Member> newer = new ArrayList<>();
        List<Member> all = new ArrayList<>();
        for (Member member : mFleet.view().members().values()) {
            if (member.id().equals(mFleet.selfId()) || !member.status().isReachable()) {
                continue;
            }
            all.add(member);
            if (member.configVersion() > mCurrent.version()) {
                newer.add(member);
            }
        }
        return newer.isEmpty() ? all : newer;
    }

    private void pulled(InstanceId peer, ConfigReply reply) {
        mPulling = false;
        if (reply == null) {
            return;
        }
        if (reply.isSetDocument()) {
            take(peer, reply);
        }
        // A peer that starts itself has no version yet and does not know the highest one.
        mAsked |= reply.getVersion() > 0 && mCurrent.version() > 0;
    }

    private void take(InstanceId peer, ConfigReply reply) {
        try {
            if (mReplica.acceptIfNewer(reply.getVersion(), reply.getDocument())) {
                changed();
            }
        } catch (HemlockrackException e) {
            mLog.log(LogEvent.CONFIG_UNKNOWN, e, "configuration of %s was refused", peer);
        }
    }

    private void warnIfUnknown() {
        boolean late = mLoop.nowNanos() - mStartedNanos > START_WAIT_NANOS;
        if (mAsked || mWarned || !late) {
            return;
        }
        mWarned = true;
        mLog.log(LogEvent.CONFIG_UNKNOWN, "no peer answered; not ready");
    }
}
