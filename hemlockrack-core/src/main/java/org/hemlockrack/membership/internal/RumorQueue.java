package org.hemlockrack.membership.internal;

import java.util.ArrayList;
import java.util.EnumMap;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import org.apache.thrift.TBase;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.TrafficClass;

/**
 * Rumors that are still to be transmitted, by traffic class. Only the newest version of each entry
 * is queued.
 */
final class RumorQueue {
    /**
     * Maximum number of rumors of one class. If there are more, the oldest is dropped, and
     * anti-entropy repairs the loss.
     */
    static final int MAX_PER_CLASS = 512;

    /**
     * Urgent rumors are transmitted more often: with the usual number of transmissions and 20%
     * message loss, single instances had not received them after 3 s (seeds 207 and 808).
     */
    private static final int URGENT_FACTOR = 2;

    private final Map<TrafficClass, LinkedHashMap<Key, Rumor>> mRumors =
            new EnumMap<>(TrafficClass.class);
    private final ControlBudget mBudget;
    private boolean mFreshUrgent;

    RumorQueue(ControlBudget budget) {
        mBudget = budget;
        for (TrafficClass trafficClass : TrafficClass.values()) {
            mRumors.put(trafficClass, new LinkedHashMap<>());
        }
    }

    /** Adds a rumor and removes queued rumors about the same entry. */
    void add(
            TrafficClass trafficClass,
            boolean isLoad,
            long shortId,
            TBase<?, ?> item,
            int transmits) {
        Key key = new Key(isLoad, shortId);
        mRumors.values().forEach(queue -> queue.remove(key));
        LinkedHashMap<Key, Rumor> queue = mRumors.get(trafficClass);
        boolean isUrgent = trafficClass == TrafficClass.URGENT;
        int totalTransmits = isUrgent ? URGENT_FACTOR * transmits : transmits;
        queue.put(key, new Rumor(item, GossipCodec.encode(item).length, totalTransmits));
        mFreshUrgent |= isUrgent;
        if (queue.size() > MAX_PER_CLASS) {
            queue.remove(queue.keySet().iterator().next());
            mBudget.countDropped(trafficClass);
        }
    }

    /** Returns whether an urgent rumor was added since the last call. */
    boolean takeFreshUrgent() {
        boolean hasFreshUrgent = mFreshUrgent;
        mFreshUrgent = false;
        return hasFreshUrgent;
    }

    /** Returns the number of queued rumors. */
    int size() {
        return mRumors.values().stream().mapToInt(Map::size).sum();
    }

    /** Adds rumors to a message while its budget lasts, most important class first. */
    void fillMessage(OutgoingMessage message) {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            List<Map.Entry<Key, Rumor>> sent = new ArrayList<>();
            Iterator<Map.Entry<Key, Rumor>> iterator =
                    mRumors.get(trafficClass).entrySet().iterator();
            while (iterator.hasNext()) {
                Map.Entry<Key, Rumor> entry = iterator.next();
                Rumor rumor = entry.getValue();
                if (!message.tryAdd(trafficClass, rumor.mItem, rumor.mBytes)) {
                    break;
                }
                iterator.remove();
                rumor.mTransmitsLeft--;
                sent.add(entry);
            }
            // Rumors that were sent move to the end, so that the rumors of a class are sent in
            // turn.
            for (Map.Entry<Key, Rumor> entry : sent) {
                if (entry.getValue().mTransmitsLeft > 0) {
                    mRumors.get(trafficClass).put(entry.getKey(), entry.getValue());
                }
            }
        }
    }

    private record Key(boolean isLoad, long shortId) {}

    private static final class Rumor {
        private final TBase<?, ?> mItem;
        private final int mBytes;
        private int mTransmitsLeft;

        private Rumor(TBase<?, ?> item, int bytes, int transmits) {
            mItem = item;
            mBytes = bytes;
            mTransmitsLeft = transmits;
        }
    }
}
