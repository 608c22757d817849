package org.hemlockrack.daemon.fleet;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.OptionalDouble;
import java.util.function.Consumer;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.hemlockrack.admission.HandoverMessage;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.daemon.loop.DeciderRunner;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.membership.Fact;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Member;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipInput;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.membership.OwnerSelector;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.Handover;
import org.hemlockrack.wire.Slice;

/**
 * Runs the membership protocol of this instance and publishes its view of the fleet. Must be used
 * on the event loop, except for the methods that are marked as safe for use from any thread.
 */
public final class FleetMembership {
    private final EventLoop mLoop;
    private final InstanceInfo mSelf;
    private final Membership mMembership;
    private final PeerNetwork mNetwork;
    private final DeciderRunner<MembershipInput, MembershipOutput> mRunner;
    private final List<Consumer<MembershipView>> mViewListeners = new ArrayList<>();
    private final List<Consumer<Fact>> mFactListeners = new ArrayList<>();

    private volatile MembershipView mView;

    private FleetMembership(
            EventLoop loop, InstanceInfo self, Membership membership, PeerNetwork network) {
        mLoop = loop;
        mSelf = self;
        mMembership = membership;
        mNetwork = network;
        mView = membership.view(loop.nowNanos());
        mRunner = DeciderRunner.create(loop, membership, this::executeOutput);
    }

    /**
     * Creates the membership. Must be called on the event loop.
     *
     * @param loop event loop that runs the membership protocol
     * @param self id and addresses of this instance
     * @param membership the membership protocol
     * @param network connections to other instances
     * @return the fleet membership
     */
    public static FleetMembership create(
            EventLoop loop, InstanceInfo self, Membership membership, PeerNetwork network) {
        return new FleetMembership(loop, self, membership, network);
    }

    /** Adds a listener that is called on the event loop after the view has changed. */
    public void addViewListener(Consumer<MembershipView> listener) {
        mViewListeners.add(listener);
    }

    /** Adds a listener that is called on the event loop when a newer fact was received. */
    public void addFactListener(Consumer<Fact> listener) {
        mFactListeners.add(listener);
    }

    /** Returns the id of this instance. Safe for use from any thread. */
    public InstanceId selfId() {
        return mSelf.id();
    }

    /** Returns the id and the addresses of this instance. Safe for use from any thread. */
    public InstanceInfo selfInfo() {
        return mSelf;
    }

    /** Returns the latest published view. Safe for use from any thread. */
    public MembershipView view() {
        return mView;
    }

    /** Passes an event to the membership protocol and executes its outputs. */
    public void handleEvent(MembershipInput event) {
        mRunner.handleEvent(event);
        publishViewIfChanged();
    }

    private void publishViewIfChanged() {
        MembershipView view = mMembership.view(mLoop.nowNanos());
        if (view == mView) {
            return;
        }
        mView = view;
        mViewListeners.forEach(listener -> listener.accept(view));
    }

    private void executeOutput(MembershipOutput output) {
        if (output instanceof MembershipOutput.Send send) {
            String target = send.target() == null ? "" : send.target().value();
            mNetwork.send(send.address(), target, Slice.MEMBERSHIP, send.payload());
            return;
        }
        if (output instanceof MembershipOutput.FactLearned learned) {
            mFactListeners.forEach(listener -> listener.accept(learned.fact()));
            return;
        }
        publishViewIfChanged();
    }

    /** Returns the instance that should own a backend server, empty if there is no candidate. */
    public Optional<Member> findOwner(BackendId backend, ZoneId zone) {
        return OwnerSelector.selectOwner(mView, backend, zone).flatMap(mView::member);
    }

    /** Returns the best-ranked owner of a backend server other than this instance. */
    public Optional<Member> findNextOwner(BackendId backend, ZoneId zone) {
        return OwnerSelector.rankCandidates(mView, backend, zone).stream()
                .filter(id -> !id.equals(mSelf.id()))
                .findFirst()
                .flatMap(mView::member);
    }

    /**
     * Returns the mean number of requests in flight per backend server of a service, 0 if it has no
     * server. The result is always present.
     */
    public OptionalDouble meanInFlight(ServiceId service) {
        return OptionalDouble.of(mMembership.meanInFlight(service));
    }

    /** Returns the last known number of requests in flight at a backend server. */
    public int inFlight(BackendId backend) {
        return mMembership.inFlight(backend);
    }

    /** Returns the address to connect to in order to forward requests to an instance. */
    public String forwardAddress(Member member) {
        return mNetwork.connectAddress(member.info().forwardAddress());
    }

    /**
     * Sends a handover message to the next owner of a backend server. Does nothing if the receiver
     * is not a member; the message may be lost.
     */
    public void sendHandover(HandoverMessage message) {
        Optional<Member> receiver = mView.member(message.to());
        if (receiver.isEmpty()) {
            return;
        }
        Handover wire = new Handover();
        wire.setBackend(message.backend().value());
        wire.setFromInstance(message.from().value());
        wire.setToInstance(message.to().value());
        wire.setIncarnation(message.incarnation());
        wire.setFloorSequence(message.floorSequence());
        wire.setInFlight(message.inFlight());
        wire.setForeignLoad(message.foreignLoad());
        try {
            byte[] payload = new TSerializer(new TCompactProtocol.Factory()).serialize(wire);
            mNetwork.send(
                    receiver.get().info().peerAddress(),
                    message.to().value(),
                    Slice.ADMISSION,
                    payload);
        } catch (TException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot encode handover message", e);
        }
    }

    /**
     * Decodes a handover message.
     *
     * @param payload payload of the received envelope
     * @return the message
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is malformed
     */
    public static HandoverMessage decodeHandover(byte[] payload) {
        Handover wire = StructCodec.decode(payload, payload.length, new Handover());
        return new HandoverMessage(
                BackendId.of(wire.getBackend()),
                InstanceId.of(wire.getFromInstance()),
                InstanceId.of(wire.getToInstance()),
                wire.getIncarnation(),
                wire.getFloorSequence(),
                wire.getInFlight() == null ? List.of() : wire.getInFlight(),
                wire.getForeignLoad());
    }
}
