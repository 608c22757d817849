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

/** Makes messages, fills them with news and charges them to the budget. */
final class Sender {
    private final InstanceInfo mSelf;
    private final ControlBudget mBudget;
    private final RumorQueue mRumors;
    private final MemberTable mMembers;
    private final Digest mDigest;
    private boolean mIntroduce;

    Sender(
            InstanceInfo self,
            ControlBudget budget,
            RumorQueue rumors,
            MemberTable members,
            Digest digest) {
        mSelf = self;
        mBudget = budget;
        mRumors = rumors;
        mMembers = members;
        mDigest = digest;
    }

    /** Sets whether messages state this instance's own record, because the receiver doubts it. */
    void introduce(boolean introduce) {
        mIntroduce = introduce;
    }

    /** Returns a message to a member. */
    Outgoing open(long nowNanos, InstanceId target, GossipKind kind) {
        return new Outgoing(mBudget, nowNanos, nameBytes(target), kind);
    }

    /** Pings a member; returns false if the budget does not allow it. */
    boolean ping(
            long nowNanos,
            MemberEntry target,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        if (mBudget.availableBytes(nowNanos, TrafficClass.PROBE) < mBudget.burstBytes() / 4) {
            // A quarter of a bucket is kept for answers: a missing answer starts a suspicion.
            return false;
        }
        Outgoing message = open(nowNanos, target.id(), GossipKind.PING);
        message.gossip().setSequence(sequence);
        return sendWithNews(nowNanos, target, message, out);
    }

    void ack(
            long nowNanos,
            MemberEntry target,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        Outgoing message = open(nowNanos, target.id(), GossipKind.ACK);
        message.gossip().setSequence(sequence);
        sendWithNews(nowNanos, target, message, out);
    }

    void news(long nowNanos, MemberEntry target, Consumer<? super MembershipOutput> out) {
        if (mBudget.availableBytes(nowNanos, TrafficClass.URGENT) < mBudget.burstBytes() / 4) {
            // Half of a bucket is kept for probes and answers; the next round carries the news.
            return;
        }
        sendWithNews(nowNanos, target, open(nowNanos, target.id(), GossipKind.NEWS), out);
    }

    void pingRequest(
            long nowNanos,
            MemberEntry helper,
            MemberEntry subject,
            long sequence,
            Consumer<? super MembershipOutput> out) {
        Outgoing message = open(nowNanos, helper.id(), GossipKind.PING_REQUEST);
        message.gossip().setSequence(sequence);
        message.gossip().setSubject(subject.mShortId);
        send(nowNanos, TrafficClass.PROBE, helper, message, out);
    }

    void want(
            long nowNanos,
            MemberEntry target,
            Collection<Long> shortIds,
            Consumer<? super MembershipOutput> out) {
        Outgoing message = open(nowNanos, target.id(), GossipKind.WANT);
        for (long shortId : shortIds) {
            if (!message.tryAddWant(shortId)) {
                break;
            }
        }
        if (message.items() > 0) {
            send(nowNanos, TrafficClass.STATE, target, message, out);
        }
    }

    /** Pings an address whose instance is not known; the message introduces this instance. */
    void pingSeed(
            long nowNanos, String address, long sequence, Consumer<? super MembershipOutput> out) {
        Outgoing message = new Outgoing(mBudget, nowNanos, nameBytes(null), GossipKind.PING);
        message.gossip().setSequence(sequence);
        message.gossip().setRootDigest(mDigest.root());
        addSelf(message);
        emit(nowNanos, TrafficClass.PROBE, null, address, message, out);
    }

    /** Charges and emits a message; returns false if the budget does not allow it. */
    boolean send(
            long nowNanos,
            TrafficClass trafficClass,
            MemberEntry target,
            Outgoing message,
            Consumer<? super MembershipOutput> out) {
        String address = target.mInfo.peerAddress();
        return emit(nowNanos, trafficClass, target.id(), address, message, out);
    }

    private boolean sendWithNews(
            long nowNanos,
            MemberEntry target,
            Outgoing message,
            Consumer<? super MembershipOutput> out) {
        message.gossip().setRootDigest(mDigest.root());
        if (target.mStatus != MemberStatus.ALIVE) {
            // The target refutes what is held about it, and learns who asks.
            MemberBrief doubt = GossipCodec.toBrief(target.news());
            message.tryAdd(TrafficClass.PROBE, doubt, GossipCodec.encode(doubt).length);
            addSelf(message);
        } else if (mIntroduce) {
            addSelf(message);
        }
        mRumors.fill(message);
        boolean probe = message.gossip().getKind() != GossipKind.NEWS;
        TrafficClass trafficClass = probe ? TrafficClass.PROBE : TrafficClass.URGENT;
        return send(nowNanos, trafficClass, target, message, out);
    }

    private void addSelf(Outgoing message) {
        MemberFull self = GossipCodec.toFull(mMembers.self().news(), mSelf);
        message.tryAdd(TrafficClass.PROBE, self, GossipCodec.encode(self).length);
    }

    private boolean emit(
            long nowNanos,
            TrafficClass trafficClass,
            @Nullable InstanceId target,
            String address,
            Outgoing message,
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
