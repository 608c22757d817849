package org.hemlockrack.daemon.config;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Predicate;
import org.hemlockrack.config.ConfigReplica;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.peer.PeerClient;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.ConfigReply;
import org.jspecify.annotations.Nullable;

/**
 * Holds the configuration that is in force on this instance. A voter receives new versions from its
 * replicated log. Until it is initialized, every instance also pulls from the leader, since any
 * other peer may be behind what this instance had in force before it restarted; later, it pulls
 * from a peer when gossip reports a higher version. Confined to the loop except {@link #current()}
 * and {@link #isInitialized()}.
 */
public final class ConfigService {
    private static final long PULL_INTERVAL_MILLIS = 200;

    /** Logs a warning if no peer has sent a configuration this long after the start. */
    private static final long START_WARNING_NANOS = 5_000_000_000L;

    /**
     * Takes a version from any peer if no leader has confirmed one this long after the start, so
     * that an instance can start while there is no majority of voters.
     */
    private static final long CONFIRMATION_TIMEOUT_NANOS = 5_000_000_000L;

    /**
     * A version and its configuration.
     *
     * @param version the version number, 0 before the first version
     * @param configuration the configuration
     */
    public record VersionedConfig(long version, Configuration configuration) {}

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final Set<InstanceId> mVoters;
    private final EventLog mLog;
    private final ConfigReplica mReplica = ConfigReplica.create();
    private final List<Consumer<VersionedConfig>> mListeners = new ArrayList<>();
    private final long mStartedNanos;

    private volatile VersionedConfig mCurrent = new VersionedConfig(0, Configuration.empty());
    private volatile boolean mInitialized;
    private boolean mPulling;
    private boolean mWarned;
    private int mNextPeer;

    private ConfigService(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Set<InstanceId> voters,
            EventLog log) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mVoters = Set.copyOf(voters);
        mLog = log;
        mStartedNanos = loop.nowNanos();
    }

    /**
     * Creates the service.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param voters the instances that may lead; if there are none, versions are not confirmed
     * @param log the event log
     * @return the service
     */
    public static ConfigService create(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            Set<InstanceId> voters,
            EventLog log) {
        ConfigService service = new ConfigService(loop, fleet, network, voters, log);
        loop.scheduleWithFixedDelay(PULL_INTERVAL_MILLIS, service::pullIfBehind);
        return service;
    }

    /** Adds a listener that is called on the loop with each new version. */
    public void addListener(Consumer<VersionedConfig> listener) {
        mListeners.add(listener);
    }

    /** Returns the configuration in force on this instance. Safe for use from any thread. */
    public VersionedConfig current() {
        return mCurrent;
    }

    /** Returns whether the highest version that gossip reports is in force on this instance. */
    public boolean isUpToDate() {
        return mInitialized
                && mCurrent.version() > 0
                && mCurrent.version() >= mFleet.view().configVersion();
    }

    /**
     * Returns whether {@link #current()} is based on the local replicated log or a peer. Right
     * after a start it is empty merely because nothing was received yet. Safe for use from any
     * thread.
     */
    public boolean isInitialized() {
        return mInitialized;
    }

    /**
     * Offers the version that the local replicated log has applied. A version that is not higher
     * than the one in force changes nothing.
     *
     * @param version the version, 0 if there is none yet
     * @param configuration its configuration
     */
    public void acceptIfNewer(long version, Configuration configuration) {
        if (version > 0 && mReplica.acceptIfNewer(version, configuration)) {
            onNewVersion();
        }
        // Set last, or another thread could take the version from before for one that was received.
        mInitialized = true;
    }

    private void onNewVersion() {
        mCurrent = new VersionedConfig(mReplica.version(), mReplica.configuration());
        mLog.log(LogEvent.CONFIG_IN_FORCE, "version %d", mCurrent.version());
        mFleet.handleEvent(
                new MembershipInput.PublishFact(Fact.ofConfigVersion(mCurrent.version())));
        mListeners.forEach(listener -> listener.accept(mCurrent));
    }

    private void pullIfBehind() {
        boolean behind = mFleet.view().configVersion() > mCurrent.version();
        if (mPulling || mInitialized && !behind) {
            return;
        }
        warnIfNotInitialized();
        boolean mustBeConfirmed =
                !mInitialized
                        && !mVoters.isEmpty()
                        && mLoop.nowNanos() - mStartedNanos < CONFIRMATION_TIMEOUT_NANOS;
        if (mustBeConfirmed) {
            pull(
                    reachablePeers(member -> mVoters.contains(member.id())),
                    client -> client.fetchConfirmedConfig(),
                    ConfigReply::isConfirmed);
            return;
        }
        long haveVersion = mCurrent.version();
        List<Member> newer = reachablePeers(member -> member.configVersion() > haveVersion);
        pull(
                newer.isEmpty() ? reachablePeers(member -> true) : newer,
                client -> client.fetchConfig(haveVersion),
                reply -> true);
    }

    private List<Member> reachablePeers(Predicate<Member> filter) {
        List<Member> peers = new ArrayList<>();
        for (Member member : mFleet.view().members().values()) {
            boolean isPeer = !member.id().equals(mFleet.selfId()) && member.status().isReachable();
            if (isPeer && filter.test(member)) {
                peers.add(member);
            }
        }
        return peers;
    }

    /** Calls the next of some peers, and applies its reply if it is accepted. */
    private void pull(
            List<Member> peers, PeerClient.Call<ConfigReply> call, Predicate<ConfigReply> filter) {
        if (peers.isEmpty()) {
            return;
        }
        Member peer = peers.get(mNextPeer++ % peers.size());
        mPulling = true;
        mNetwork.callAsync(peer.info().peerAddress(), call)
                .thenApply(reply -> filter.test(reply) ? reply : null)
                .whenComplete((reply, error) -> mLoop.execute(() -> onPulled(peer.id(), reply)));
    }

    private void onPulled(InstanceId peer, @Nullable ConfigReply reply) {
        mPulling = false;
        if (reply == null) {
            return;
        }
        if (reply.isSetDocument()) {
            applyReply(peer, reply);
        }
        // A peer that has just started replies with version 0, whatever the fleet's version is.
        mInitialized |= reply.getVersion() > 0 && mCurrent.version() > 0;
    }

    private void applyReply(InstanceId peer, ConfigReply reply) {
        try {
            if (mReplica.acceptIfNewer(reply.getVersion(), reply.getDocument())) {
                onNewVersion();
            }
        } catch (HemlockrackException e) {
            mLog.log(LogEvent.CONFIG_UNKNOWN, e, "configuration from %s was rejected", peer);
        }
    }

    private void warnIfNotInitialized() {
        boolean late = mLoop.nowNanos() - mStartedNanos > START_WARNING_NANOS;
        if (mInitialized || mWarned || !late) {
            return;
        }
        mWarned = true;
        mLog.log(LogEvent.CONFIG_UNKNOWN, "no peer has sent a configuration; not ready");
    }
}
