package org.hemlockrack.membership.internal;

import java.util.Collection;
import java.util.function.Consumer;
import org.apache.thrift.TBase;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.MemberStatus;
import org.hemlockrack.membership.MembershipOutput;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.wire.GossipKind;
import org.hemlockrack.wire.MemberBrief;
import org.hemlockrack.wire.MemberFull;
import org.jspecify.annotations.Nullable;

/** Creates messages, fills them with rumors and charges them to the control budget. */
final class MessageSender {
    private final InstanceInfo mSelf;
    private final ControlBudget mBudget;
    private final RumorQueue mRumors;
    private final MemberTable mMembers;
    private final BucketDigests mDigests;
    private boolean mIntroduceSelf;

    MessageSender(
            InstanceInfo self,
            ControlBudget budget,
            RumorQueue rumors,
            MemberTable members,
            BucketDigests digests) {
        mSelf = self;
        mBudget = budget;
        mRumors = rumors;
        mMembers = members;
        mDigests = digests;
    }

    /**
     * Sets whether messages include the full record of this instance, because the receiver holds it
     * as not alive or in another version.
     */
    void setIntroduceSelf(boolean introduceSelf) {
        mIntroduceSelf = introduceSelf;
    }

    /** Creates an empty message to a member. */
    OutgoingMessage newMessage(long nowNanos, InstanceId target, GossipKind kind) {
        return new OutgoingMessage(mBudget, nowNanos, nameBytes(target), kind);
    }

    /** Pings a member; returns false if the budget does not allow it. */
    boolean sendPing(
            long nowNanos,
            MemberEntry target,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        if (mBudget.availableBytes(nowNanos, TrafficClass.PROBE) < mBudget.burstBytes() / 4) {
            // A quarter of the token bucket is reserved for acknowledgements, because a missing
            // one starts a suspicion.
            return false;
        }
        OutgoingMessage message = newMessage(nowNanos, target.id(), GossipKind.PING);
        message.gossip().setSequence(sequence);
        return sendWithRumors(nowNanos, target, message, out);
    }

    /** Acknowledges a ping. */
    void sendAck(
            long nowNanos,
            MemberEntry target,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        OutgoingMessage message = newMessage(nowNanos, target.id(), GossipKind.ACK);
        message.gossip().setSequence(sequence);
        sendWithRumors(nowNanos, target, message, out);
    }

    /** Sends a message with rumors only, if the budget leaves enough for probes. */
    void sendRumors(long nowNanos, MemberEntry target, Consumer<? super MembershipOutput> out) {
        if (mBudget.availableBytes(nowNanos, TrafficClass.URGENT) < mBudget.burstBytes() / 4) {
            // Half of the token bucket is reserved for probes and acknowledgements; the rumors are
            // sent with the next round.
            return;
        }
        sendWithRumors(nowNanos, target, newMessage(nowNanos, target.id(), GossipKind.NEWS), out);
    }

    /** Asks a member to probe another one on behalf of this instance. */
    void sendPingRequest(
            long nowNanos,
            MemberEntry helper,
            MemberEntry subject,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        OutgoingMessage message = newMessage(nowNanos, helper.id(), GossipKind.PING_REQUEST);
        message.gossip().setSequence(sequence);
        message.gossip().setSubject(subject.mShortId);
        send(nowNanos, TrafficClass.PROBE, helper, message, out);
    }

    /** Requests entries by their short ids, as far as they fit into one message. */
    void requestEntries(
            long nowNanos,
            MemberEntry target,
            Collection<Long> shortIds,
            Consumer<? super MembershipOutput> out) {
        OutgoingMessage message = newMessage(nowNanos, target.id(), GossipKind.WANT);
        for (long shortId : shortIds) {
            if (!message.tryAddRequest(shortId)) {
                break;
            }
        }
        if (message.items() > 0) {
            send(nowNanos, TrafficClass.STATE, target, message, out);
        }
    }

    /**
     * Pings an address whose instance is not known; the message includes the full record of this
     * instance.
     */
    void pingSeed(
            long nowNanos, String address, long sequence, Consumer<? super MembershipOutput> out) {
        OutgoingMessage message =
                new OutgoingMessage(mBudget, nowNanos, nameBytes(null), GossipKind.PING);
        message.gossip().setSequence(sequence);
        message.gossip().setRootDigest(mDigests.root());
        addSelf(message);
        chargeAndSend(nowNanos, TrafficClass.PROBE, null, address, message, out);
    }

    /** Charges and emits a message; returns false if the budget does not allow it. */
    boolean send(
            long nowNanos,
            TrafficClass trafficClass,
            MemberEntry target,
            OutgoingMessage message,
            Consumer<? super MembershipOutput> out) {
        String address = target.mInfo.peerAddress();
        return chargeAndSend(nowNanos, trafficClass, target.id(), address, message, out);
    }

    private boolean sendWithRumors(
            long nowNanos,
            MemberEntry target,
            OutgoingMessage message,
            Consumer<? super MembershipOutput> out) {
        message.gossip().setRootDigest(mDigests.root());
        if (target.mStatus != MemberStatus.ALIVE) {
            // Sends the target its recorded status, which it refutes if it is alive, and the
            // record of this instance, because a target that does not know the sender does not
            // answer.
            MemberBrief recordedStatus = GossipCodec.toBrief(target.toUpdate());
            message.tryAdd(
                    TrafficClass.PROBE, recordedStatus, GossipCodec.encode(recordedStatus).length);
            addSelf(message);
        } else if (mIntroduceSelf) {
            addSelf(message);
        }
        mRumors.fillMessage(message);
        boolean isProbe = message.gossip().getKind() != GossipKind.NEWS;
        TrafficClass trafficClass = isProbe ? TrafficClass.PROBE : TrafficClass.URGENT;
        return send(nowNanos, trafficClass, target, message, out);
    }

    private void addSelf(OutgoingMessage message) {
        MemberFull self = GossipCodec.toFull(mMembers.self().toUpdate(), mSelf);
        message.tryAdd(TrafficClass.PROBE, self, GossipCodec.encode(self).length);
    }

    private boolean chargeAndSend(
            long nowNanos,
            TrafficClass trafficClass,
            @Nullable InstanceId target,
            String address,
            OutgoingMessage message,
            Consumer<? super MembershipOutput> out) {
        TBase<?, ?> gossip = message.gossip();
        byte[] payload = GossipCodec.encode(gossip);
        int wireBytes = ControlBudget.messageBytes(payload.length, nameBytes(target));
        if (!mBudget.tryCharge(nowNanos, trafficClass, wireBytes)) {
            return false;
        }
        out.accept(new MembershipOutput.Send(target, address, payload, wireBytes));
        return true;
    }

    private int nameBytes(@Nullable InstanceId target) {
        int targetBytes = target == null ? 0 : target.value().length();
        return mSelf.id().value().length() + targetBytes;
    }
}
