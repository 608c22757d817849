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

/** The news still to be repeated, newest version of each entry only, by traffic class. */
final class RumorQueue {
    /** Most rumors of one class; the oldest goes first and anti-entropy repairs what it carried. */
    static final int MAX_PER_CLASS = 512;

    /**
     * Urgent news is repeated more often: with the usual number and 20% loss single instances
     * lacked it after 3 s (seeds 207 and 808).
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

    /** Adds news, replacing what is queued for the same entry. */
    void add(TrafficClass trafficClass, boolean load, long shortId, TBase<?, ?> item, int times) {
        Key key = new Key(load, shortId);
        mRumors.values().forEach(queue -> queue.remove(key));
        LinkedHashMap<Key, Rumor> queue = mRumors.get(trafficClass);
        boolean urgent = trafficClass == TrafficClass.URGENT;
        int repeats = urgent ? URGENT_FACTOR * times : times;
        queue.put(key, new Rumor(item, GossipCodec.encode(item).length, repeats));
        mFreshUrgent |= urgent;
        if (queue.size() > MAX_PER_CLASS) {
            queue.remove(queue.keySet().iterator().next());
            mBudget.countDropped(trafficClass);
        }
    }

    /** Returns whether urgent news was added since the last call. */
    boolean takeFreshUrgent() {
        boolean fresh = mFreshUrgent;
        mFreshUrgent = false;
        return fresh;
    }

    /** Returns how many rumors wait. */
    int size() {
        return mRumors.values().stream().mapToInt(Map::size).sum();
    }

    /** Adds rumors to a message while its budget lasts, most important class first. */
    void fill(Outgoing message) {
        for (TrafficClass trafficClass : TrafficClass.values()) {
            List<Map.Entry<Key, Rumor>> sent = new ArrayList<>();
            Iterator<Map.Entry<Key, Rumor>> all = mRumors.get(trafficClass).entrySet().iterator();
            while (all.hasNext()) {
                Map.Entry<Key, Rumor> entry = all.next();
                Rumor rumor = entry.getValue();
                if (!message.tryAdd(trafficClass, rumor.mItem, rumor.mBytes)) {
                    break;
                }
                all.remove();
                rumor.mLeft--;
                sent.add(entry);
            }
            // What was sent goes to the end, so that all rumors of a class take turns.
            for (Map.Entry<Key, Rumor> entry : sent) {
                if (entry.getValue().mLeft > 0) {
                    mRumors.get(trafficClass).put(entry.getKey(), entry.getValue());
                }
            }
        }
    }

    private record Key(boolean load, long shortId) {}

    private static final class Rumor {
        private final TBase<?, ?> mItem;
        private final int mBytes;
        private int mLeft;

        private Rumor(TBase<?, ?> item, int bytes, int left) {
            mItem = item;
            mBytes = bytes;
            mLeft = left;
        }
    }
}
