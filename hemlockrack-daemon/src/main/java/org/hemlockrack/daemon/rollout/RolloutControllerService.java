package org.hemlockrack.daemon.rollout;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.BackendStatus;
import org.hemlockrack.rollout.ModelOrder;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutController;
import org.hemlockrack.rollout.RolloutControllerEvent;
import org.hemlockrack.rollout.RolloutControllerOutput;
import org.hemlockrack.rollout.RolloutResult;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutState;
import org.hemlockrack.wire.OrderMessage;

/**
 * Runs the roll-out controller on a voter; it acts only while the voter is the leader. Confined to
 * the loop of the replicated log except as stated.
 */
public final class RolloutControllerService {
    private static final long POLL_INTERVAL_MILLIS = 500;
    private static final long CONFIRM_TIMEOUT_MILLIS = 1_000;

    private final EventLoop mLogLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final ReplicaService mReplica;
    private final RolloutState mState;
    private final RolloutController mController;
    private final DeciderRunner<RolloutControllerEvent, RolloutControllerOutput> mRunner;
    private boolean mLeading;

    private RolloutControllerService(
            EventLoop logLoop,
            FleetMembership fleet,
            PeerNetwork network,
            ReplicaService replica,
            RolloutState state,
            RandomGenerator random) {
        mLogLoop = logLoop;
        mFleet = fleet;
        mNetwork = network;
        mReplica = replica;
        mState = state;
        mController =
                RolloutController.of(
                        fleet.selfId(),
                        state,
                        RolloutSettings.forFleet(fleet.view().members().size()),
                        random);
        mRunner = DeciderRunner.create(logLoop, mController, this::handleOutput);
    }

    /**
     * Creates the service. Must be called on the loop of the replicated log.
     *
     * @param logLoop loop of the replicated log
     * @param fleet the fleet
     * @param network connections to other instances
     * @param replica the replica of this instance
     * @param state the replicated state
     * @param random source of request ids
     * @return the service
     */
    public static RolloutControllerService create(
            EventLoop logLoop,
            FleetMembership fleet,
            PeerNetwork network,
            ReplicaService replica,
            RolloutState state,
            RandomGenerator random) {
        RolloutControllerService service =
                new RolloutControllerService(logLoop, fleet, network, replica, state, random);
        logLoop.scheduleWithFixedDelay(POLL_INTERVAL_MILLIS, service::poll);
        return service;
    }

    /** Handles a change of the replicated state. Called on the loop of the replicated log. */
    public void onStateChanged() {
        mRunner.handleEvent(new RolloutControllerEvent.StateChanged());
    }

    /** Checks the role of this instance and, as the leader, passes on the state of the servers. */
    private void poll() {
        boolean isLeader = mReplica.role() == Role.LEADER;
        if (isLeader && !mLeading) {
            mLeading = true;
            mReplica.readIndex()
                    .thenAccept(outcome -> mLogLoop.execute(() -> onReadIndex(outcome)));
        }
        if (!isLeader && mLeading) {
            mLeading = false;
            mRunner.handleEvent(new RolloutControllerEvent.LeadershipLost());
        }
        if (mLeading && mState.current().stream().anyMatch(Rollout::isRunning)) {
            postBackends(mFleet.view());
        }
    }

    /**
     * Activates the controller after a successful read index, when the state contains every command
     * that was acknowledged before this instance became the leader. Otherwise the next poll
     * retries.
     */
    private void onReadIndex(ProposalOutcome outcome) {
        if (outcome.status() != ProposalStatus.APPLIED) {
            mLeading = false;
            return;
        }
        mRunner.handleEvent(new RolloutControllerEvent.LeadershipGained());
    }

    private void postBackends(MembershipView view) {
        for (Backend backend : view.backends().values()) {
            if (backend.state() == BackendState.GONE) {
                mRunner.handleEvent(new RolloutControllerEvent.BackendGone(backend.id()));
                continue;
            }
            mRunner.handleEvent(
                    new RolloutControllerEvent.BackendUpdated(
                            new BackendStatus(
                                    backend.id(),
                                    backend.service(),
                                    backend.owner(),
                                    Set.copyOf(backend.models()),
                                    backend.state().acceptsRequests())));
        }
    }

    private void handleOutput(RolloutControllerOutput output) {
        if (output instanceof RolloutControllerOutput.Propose propose) {
            propose(propose.command());
        } else if (output instanceof RolloutControllerOutput.SendOrder send) {
            send(send.owner(), send.order());
        }
    }

    private void propose(RolloutCommand command) {
        mReplica.propose(StateMachineId.ROLLOUT.encodeCommand(command.encode()))
                .thenAccept(
                        outcome ->
                                mLogLoop.execute(
                                        () ->
                                                mRunner.handleEvent(
                                                        new RolloutControllerEvent.ProposalEnded(
                                                                command.requestId(),
                                                                decodeResult(outcome)))));
    }

    private static Optional<RolloutResult> decodeResult(ProposalOutcome outcome) {
        byte[] bytes = outcome.result();
        return bytes == null ? Optional.empty() : Optional.of(RolloutResult.decode(bytes));
    }

    private void send(InstanceId owner, ModelOrder order) {
        Optional<Member> member = mFleet.view().member(owner);
        if (member.isEmpty()) {
            onOrderFailed(order);
            return;
        }
        mNetwork.callAsync(
                        member.get().info().peerAddress(),
                        client -> client.order(ModelOrderCodec.toWire(order)))
                .whenComplete(
                        (taken, fault) -> {
                            if (fault != null || !taken) {
                                onOrderFailed(order);
                            }
                        });
    }

    private void onOrderFailed(ModelOrder order) {
        mLogLoop.execute(() -> mRunner.handleEvent(new RolloutControllerEvent.OrderFailed(order)));
    }

    /**
     * Returns whether an order is the newest that this controller gave to its server. Waits until a
     * majority confirmed that this instance is still the leader. Safe for use from any thread but
     * the loops.
     *
     * @param message the order
     * @return whether it may take effect; false also if no majority responded in time
     */
    public boolean confirmOrder(OrderMessage message) {
        ModelOrder order = ModelOrderCodec.fromWire(message);
        try {
            ProposalOutcome read =
                    mReplica.readIndex()
                            .orTimeout(CONFIRM_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .join();
            return read.status() == ProposalStatus.APPLIED
                    && mLogLoop.submit(() -> mController.confirms(order)).join();
        } catch (CompletionException e) {
            return false;
        }
    }

    /** Returns the roll-outs of the replicated state. */
    public List<Rollout> currentRollouts() {
        return mState.current();
    }
}
