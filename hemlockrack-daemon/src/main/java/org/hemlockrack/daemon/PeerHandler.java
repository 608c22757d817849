package org.hemlockrack.daemon;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.function.Supplier;
import org.apache.thrift.TApplicationException;
import org.apache.thrift.TException;
import org.hemlockrack.consensus.ConsensusCodec;
import org.hemlockrack.daemon.burn.BurnService;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.entry.ClaimService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.owner.OwnerService;
import org.hemlockrack.daemon.replica.ConfigEndpoint;
import org.hemlockrack.daemon.replica.ProposalEndpoint;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.rollout.OrderService;
import org.hemlockrack.daemon.rollout.RolloutControllerService;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.wire.ConfigReply;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.OrderMessage;
import org.hemlockrack.wire.Peer;
import org.hemlockrack.wire.PermitReply;
import org.hemlockrack.wire.PermitRequest;
import org.hemlockrack.wire.ProposeReply;
import org.hemlockrack.wire.ProposeRequest;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.jspecify.annotations.Nullable;

/** Handles Thrift calls of other instances, on the threads of the peer port. */
final class PeerHandler implements Peer.Iface {
    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final ConfigService mConfig;
    private final OwnerService mOwner;
    private final ClaimService mClaims;
    private final @Nullable ReplicaService mReplica;
    private final ConfigEndpoint mConfigEndpoint;
    private final RolloutServices mRollouts;
    private final EventLog mLog;

    PeerHandler(
            EventLoop loop,
            FleetMembership fleet,
            ConfigService config,
            OwnerService owner,
            ClaimService claims,
            @Nullable ReplicaService replica,
            ConfigEndpoint configEndpoint,
            RolloutServices rollouts,
            EventLog log) {
        mLoop = loop;
        mFleet = fleet;
        mConfig = config;
        mOwner = owner;
        mClaims = claims;
        mReplica = replica;
        mConfigEndpoint = configEndpoint;
        mRollouts = rollouts;
        mLog = log;
    }

    @Override
    public void deliver(List<Envelope> envelopes) {
        for (Envelope envelope : envelopes) {
            try {
                deliver(envelope);
            } catch (HemlockrackException e) {
                logRejected(envelope, e);
            }
        }
    }

    private void logRejected(Envelope envelope, HemlockrackException cause) {
        mLog.log(
                LogEvent.PEER_MESSAGE_REJECTED,
                "from \"%s\": %s",
                envelope.getSender(),
                cause.getMessage());
    }

    private void deliver(Envelope envelope) {
        boolean isForSelf =
                envelope.getTarget().isEmpty()
                        || envelope.getTarget().equals(mFleet.selfId().value());
        if (!isForSelf || envelope.getSlice() == null) {
            return;
        }
        byte[] payload = envelope.getPayload();
        switch (envelope.getSlice()) {
            case CONSENSUS -> {
                if (mReplica != null) {
                    mReplica.receive(ConsensusCodec.decode(payload));
                }
            }
            case MEMBERSHIP -> {
                InstanceId sender = InstanceId.of(envelope.getSender());
                mLoop.execute(() -> receiveGossip(envelope, sender, payload));
            }
            case ADMISSION -> {
                var handover = FleetMembership.decodeHandover(payload);
                mLoop.execute(() -> mOwner.onHandover(handover));
            }
            default -> {}
        }
    }

    private void receiveGossip(Envelope envelope, InstanceId sender, byte[] payload) {
        try {
            mFleet.handleEvent(new MembershipInput.Received(sender, payload));
        } catch (HemlockrackException e) {
            logRejected(envelope, e);
        }
    }

    @Override
    public void ping() {}

    @Override
    public ProposeReply propose(ProposeRequest request) {
        return ProposalEndpoint.handle(mReplica, request);
    }

    @Override
    public ConfigReply fetchConfig(long haveVersion) {
        ConfigService.VersionedConfig current = mConfig.current();
        ConfigReply reply = new ConfigReply();
        reply.setVersion(current.version());
        if (current.version() > haveVersion) {
            reply.setDocument(current.configuration().toToml());
        }
        return reply;
    }

    @Override
    public ConfigReply fetchConfirmedConfig() {
        return mConfigEndpoint.fetchConfirmed();
    }

    @Override
    public boolean abandoned(String attempt) {
        return mClaims.isAbandoned(attempt);
    }

    /**
     * Services that handle other instances' calls about roll-outs and error budget burn.
     *
     * @param rollouts the known roll-outs
     * @param orders sends orders to owned servers
     * @param controller returns the roll-out controller, or null if none runs on this instance
     * @param burn the burn accounts
     */
    record RolloutServices(
            RolloutService rollouts,
            OrderService orders,
            Supplier<@Nullable RolloutControllerService> controller,
            BurnService burn) {}

    @Override
    public ByteBuffer fetchRollouts() {
        return ByteBuffer.wrap(Rollout.encode(mRollouts.rollouts().knownRollouts()));
    }

    @Override
    public boolean order(OrderMessage message) {
        return mRollouts.orders().receive(message);
    }

    @Override
    public boolean confirmOrder(OrderMessage message) {
        RolloutControllerService controller = mRollouts.controller().get();
        return controller != null && controller.confirmOrder(message);
    }

    @Override
    public SyncReply sync(SyncRequest request) throws TException {
        throw notController();
    }

    @Override
    public PermitReply acquirePermits(PermitRequest request) throws TException {
        throw notController();
    }

    private static TException notController() {
        return new TApplicationException(
                TApplicationException.UNKNOWN_METHOD, "this instance is not a controller");
    }

    @Override
    public ByteBuffer fetchBurn() {
        return ByteBuffer.wrap(mRollouts.burn().encodeAccounts());
    }
}
