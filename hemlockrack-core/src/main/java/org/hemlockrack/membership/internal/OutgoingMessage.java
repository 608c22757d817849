package org.hemlockrack.membership.internal;

import org.apache.thrift.TBase;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.TrafficClass;
import org.hemlockrack.wire.BackendNews;
import org.hemlockrack.wire.EntryVersion;
import org.hemlockrack.wire.FactNews;
import org.hemlockrack.wire.Gossip;
import org.hemlockrack.wire.GossipKind;
import org.hemlockrack.wire.LoadNews;
import org.hemlockrack.wire.MemberBrief;
import org.hemlockrack.wire.MemberFull;

/**
 * A message under construction, limited to the bytes that the traffic classes of its items may send
 * now.
 */
final class OutgoingMessage {
    /** Keeps a message within one TCP segment. */
    static final int MAX_PAYLOAD_BYTES = 1_100;

    /** Field and list headers of all lists, and the stop byte. */
    private static final int FIXED_BYTES = 24;

    /** Kind, sequence, subject and root digest. */
    private static final int HEADER_BYTES = 26;

    private final Gossip mGossip = new Gossip();
    private final ControlBudget mBudget;
    private final long mNowNanos;
    private final int mNameBytes;
    private int mPayloadBytes = FIXED_BYTES + HEADER_BYTES;
    private int mItems;

    OutgoingMessage(ControlBudget budget, long nowNanos, int nameBytes, GossipKind kind) {
        mBudget = budget;
        mNowNanos = nowNanos;
        mNameBytes = nameBytes;
        mGossip.setKind(kind);
    }

    Gossip gossip() {
        return mGossip;
    }

    int items() {
        return mItems;
    }

    /**
     * Adds an item; returns false if the message is full or the budget of its class is exhausted.
     */
    boolean tryAdd(TrafficClass trafficClass, TBase<?, ?> item, int itemBytes) {
        if (!tryReserve(trafficClass, itemBytes)) {
            return false;
        }
        if (item instanceof MemberFull full) {
            mGossip.addToMembers(full);
        } else if (item instanceof MemberBrief brief) {
            mGossip.addToBriefs(brief);
        } else if (item instanceof BackendNews backend) {
            mGossip.addToBackends(backend);
        } else if (item instanceof LoadNews load) {
            mGossip.addToLoads(load);
        } else if (item instanceof FactNews fact) {
            mGossip.addToFacts(fact);
        } else {
            mGossip.addToEntries((EntryVersion) item);
        }
        return true;
    }

    /** Adds the number of a bucket whose entries are listed. */
    boolean tryAddBucket(int bucket) {
        if (!tryReserve(TrafficClass.STATE, 2)) {
            return false;
        }
        mGossip.addToBuckets(bucket);
        return true;
    }

    /** Adds the short id of a requested entry. */
    boolean tryAddRequest(long shortId) {
        if (!tryReserve(TrafficClass.STATE, 8)) {
            return false;
        }
        mGossip.addToWants(shortId);
        return true;
    }

    private boolean tryReserve(TrafficClass trafficClass, int bytes) {
        int payloadBytes = mPayloadBytes + bytes;
        int wireBytes = ControlBudget.messageBytes(payloadBytes, mNameBytes);
        if (payloadBytes > MAX_PAYLOAD_BYTES
                || wireBytes > mBudget.availableBytes(mNowNanos, trafficClass)) {
            return false;
        }
        mPayloadBytes = payloadBytes;
        mItems++;
        return true;
    }
}
