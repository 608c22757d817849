package org.hemlockrack.daemon.rollout;

import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.concurrent.TimeUnit;
import java.util.random.RandomGenerator;
import org.hemlockrack.consensus.ProposalStatus;
import org.hemlockrack.consensus.Role;
import org.hemlockrack.daemon.fleet.Fleet;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.Loop;
import org.hemlockrack.daemon.replica.ProposalOutcome;
import org.hemlockrack.daemon.replica.ReplicaService;
import org.hemlockrack.daemon.replica.StateMachineId;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.BackendState;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.rollout.BackendStatus;
import org.hemlockrack.rollout.ControllerEvent;
import org.hemlockrack.rollout.ControllerOutput;
import org.hemlockrack.rollout.Order;
import org.hemlockrack.rollout.Rollout;
import org.hemlockrack.rollout.RolloutCommand;
import org.hemlockrack.rollout.RolloutController;
import org.hemlockrack.rollout.RolloutResult;
import org.hemlockrack.rollout.RolloutSettings;
import org.hemlockrack.rollout.RolloutState;
import org.hemlockrack.wire.OrderMessage;

/** Runs the roll-out controller on a voter. Confined to the loop of the log except as stated. */
public final class RolloutLead {
    private static final long VIEW_MILLIS = 500;
    private static final long CONFIRM_MILLIS = 1_000;

    private final Loop mLogLoop;
    private final Fleet mFleet;
    private final PeerNetwork mNetwork;
    private final ReplicaService mReplica;
    private final RolloutState mState;
    private final RolloutController mController;
    private final DeciderRunner<ControllerEvent, ControllerOutput> mRunner;
    private boolean mLeading;

    private RolloutLead(
            Loop logLoop,
            Fleet fleet,
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
                        fleet.self(),
                        state,
                        RolloutSettings.forFleet(fleet.view().members().size()),
                        random);
        mRunner = DeciderRunner.create(logLoop, mController, this::carryOut);
    }

    /**
     * Creates the controller. Must be called on the loop of the log.
     *
     * @param logLoop loop of the log
     * @param fleet the fleet
     * @param network connections to other instances
     * @param replica the replica of this instance
     * @param state the replicated state
     * @param random source of request ids
     * @return the controller
     */
    public static RolloutLead create(
            Loop logLoop,
            Fleet fleet,
            PeerNetwork network,
            ReplicaService replica,
            RolloutState state,
            RandomGenerator random) {
        RolloutLead lead = new RolloutLead(logLoop, fleet, network, replica, state, random);
        logLoop.repeat(VIEW_MILLIS, lead::refresh);
        return lead;
    }

    /** Notes that the replicated state changed. */
    public void stateChanged() {
        mRunner.post(new ControllerEvent.StateChanged());
    }

    private void refresh() {
        boolean leads = mReplica.role() == Role.LEADER;
        if (leads && !mLeading) {
            mLeading = true;
            mReplica.readIndex().thenAccept(outcome -> mLogLoop.execute(() -> gained(outcome)));
        }
        if (!leads && mLeading) {
            mLeading = false;
            mRunner.post(new ControllerEvent.LeadershipLost());
        }
        if (mLeading && mState.current().stream().anyMatch(Rollout::isRunning)) {
            see(mFleet.view());
        }
    }

    /** The state must hold everything that was acknowledged before the controller decides. */
    private void gained(ProposalOutcome outcome) {
        if (outcome.status() != ProposalStatus.APPLIED) {
            mLeading = false;
            return;
        }
        mRunner.post(new ControllerEvent.LeadershipGained());
    }

    private void see(MembershipView view) {
        for (Backend backend : view.backends().values()) {
            if (backend.state() == BackendState.GONE) {
                mRunner.post(new ControllerEvent.BackendGone(backend.id()));
                continue;
            }
            mRunner.post(
                    new ControllerEvent.BackendUpdated(
                            new BackendStatus(
                                    backend.id(),
                                    backend.service(),
                                    backend.owner(),
                                    Set.copyOf(backend.models()),
                                    backend.state().takesWork())));
        }
    }

    private void carryOut(ControllerOutput output) {
        if (output instanceof ControllerOutput.Propose propose) {
            propose(propose.command());
        } else if (output instanceof ControllerOutput.SendOrder send) {
            send(send.owner(), send.order());
        }
    }

    private void propose(RolloutCommand command) {
        mReplica.propose(StateMachineId.ROLLOUT.encodeCommand(command.encode()))
                .thenAccept(
                        outcome ->
                                mLogLoop.execute(
                                        () ->
                                                mRunner.post(
                                                        new ControllerEvent.ProposalEnded(
                                                                command.requestId(),
                                                                result(outcome)))));
    }

    private static Optional<RolloutResult> result(ProposalOutcome outcome) {
        byte[] bytes = outcome.result();
        return bytes == null ? Optional.empty() : Optional.of(RolloutResult.decode(bytes));
    }

    private void send(InstanceId owner, Order order) {
        Optional<Member> member = mFleet.view().member(owner);
        if (member.isEmpty()) {
            failed(order);
            return;
        }
        mNetwork.ask(
                        member.get().info().peerAddress(),
                        client -> client.order(Orders.toWire(order)))
                .whenComplete(
                        (taken, fault) -> {
                            if (fault != null || !taken) {
                                failed(order);
                            }
                        });
    }

    private void failed(Order order) {
        mLogLoop.execute(() -> mRunner.post(new ControllerEvent.OrderFailed(order)));
    }

    /**
     * Returns whether an order is the newest of this controller, after a majority confirmed that
     * this instance still leads. Safe for use from any thread but the loops.
     *
     * @param message the order
     * @return whether it may take effect
     */
    public boolean confirms(OrderMessage message) {
        Order order = Orders.fromWire(message);
        try {
            ProposalOutcome read =
                    mReplica.readIndex().orTimeout(CONFIRM_MILLIS, TimeUnit.MILLISECONDS).join();
            return read.status() == ProposalStatus.APPLIED
                    && mLogLoop.submit(() -> mController.confirms(order)).join();
        } catch (CompletionException e) {
            return false;
        }
    }

    /** Returns the roll-outs of the replicated state. */
    public List<Rollout> current() {
        return mState.current();
    }
}
