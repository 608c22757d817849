package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;

/** Servers of which one is drawn with a probability in proportion to its weight. */
final class WeightedDraw {
    private final List<ServerSlot> mSlots = new ArrayList<>();
    private final List<Double> mWeights = new ArrayList<>();
    private double mTotalWeight;

    private WeightedDraw() {}

    static WeightedDraw create() {
        return new WeightedDraw();
    }

    /** Adds a server, unless its weight is not positive. */
    void add(ServerSlot slot, double weight) {
        if (weight > 0) {
            mSlots.add(slot);
            mWeights.add(weight);
            mTotalWeight += weight;
        }
    }

    boolean isEmpty() {
        return mSlots.isEmpty();
    }

    /** Returns the servers that can be drawn. */
    List<ServerSlot> slots() {
        return mSlots;
    }

    /** Draws a server; there must be one. */
    ServerSlot draw(RandomGenerator random) {
        int last = mSlots.size() - 1;
        double remaining = last == 0 ? 0 : mTotalWeight * random.nextDouble();
        for (int i = 0; i < last; i++) {
            remaining -= mWeights.get(i);
            if (remaining < 0) {
                return mSlots.get(i);
            }
        }
        return mSlots.get(last);
    }
}
