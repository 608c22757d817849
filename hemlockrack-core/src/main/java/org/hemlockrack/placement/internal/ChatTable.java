package org.hemlockrack.placement.internal;

import java.util.Arrays;

/**
 * Fixed-size map from chat hash to the last two places that served it, with replacement of the
 * least recently used chat. Chained hashing over parallel arrays; no objects per chat.
 */
final class ChatTable {
    static final int NONE = -1;
    static final int PLACES = 2;

    private final int mCapacity;
    private final int mMask;
    private final int[] mHeads;
    private final int[] mChain;
    private final int[] mOlder;
    private final int[] mNewer;
    private final long[] mKeys;
    private final int[] mSlots;
    private final int[] mTicks;
    private int mSize;
    private int mOldest = NONE;
    private int mNewest = NONE;

    private ChatTable(int capacity) {
        int buckets = Integer.highestOneBit(Math.max(1, capacity - 1)) << 1;
        mCapacity = capacity;
        mMask = buckets - 1;
        mHeads = new int[buckets];
        mChain = new int[capacity];
        mOlder = new int[capacity];
        mNewer = new int[capacity];
        mKeys = new long[capacity];
        mSlots = new int[capacity * PLACES];
        mTicks = new int[capacity * PLACES];
        Arrays.fill(mHeads, NONE);
        Arrays.fill(mSlots, NONE);
    }

    static ChatTable create(int capacity) {
        return new ChatTable(capacity);
    }

    int size() {
        return mSize;
    }

    long bytes() {
        long ints = mHeads.length + mChain.length + mOlder.length + mNewer.length;
        return (ints + mSlots.length + mTicks.length) * Integer.BYTES
                + (long) mKeys.length * Long.BYTES;
    }

    /** Returns the index of a chat, or {@link #NONE}. */
    int find(long key) {
        int i = mHeads[bucket(key)];
        while (i != NONE && mKeys[i] != key) {
            i = mChain[i];
        }
        return i;
    }

    /** Returns the slot of a place, or {@link #NONE}. */
    int slot(int index, int place) {
        return mSlots[index * PLACES + place];
    }

    /** Returns when the place was last used. */
    int tick(int index, int place) {
        return mTicks[index * PLACES + place];
    }

    /** Records a use; an older report never moves a place back in time. */
    void put(long key, int slot, int tick) {
        int index = touch(key);
        int at = index * PLACES + placeFor(index, slot);
        boolean known = mSlots[at] == slot;
        mTicks[at] = known ? Math.max(mTicks[at], tick) : tick;
        mSlots[at] = slot;
    }

    /** Forgets a place, unless it was used after the given time. Returns its tick, or NONE. */
    int remove(long key, int slot, int tick) {
        int index = find(key);
        if (index == NONE) {
            return NONE;
        }
        for (int at = index * PLACES; at < (index + 1) * PLACES; at++) {
            if (mSlots[at] == slot && mTicks[at] <= tick) {
                mSlots[at] = NONE;
                return mTicks[at];
            }
        }
        return NONE;
    }

    private int placeFor(int index, int slot) {
        int first = index * PLACES;
        if (mSlots[first] == slot) {
            return 0;
        }
        if (mSlots[first + 1] == slot) {
            return 1;
        }
        if (mSlots[first] == NONE) {
            return 0;
        }
        if (mSlots[first + 1] == NONE) {
            return 1;
        }
        return mTicks[first] <= mTicks[first + 1] ? 0 : 1;
    }

    private int touch(long key) {
        int index = find(key);
        if (index != NONE) {
            unlink(index);
            linkNewest(index);
            return index;
        }
        index = mSize < mCapacity ? mSize++ : evictOldest();
        int bucket = bucket(key);
        mKeys[index] = key;
        mChain[index] = mHeads[bucket];
        mHeads[bucket] = index;
        Arrays.fill(mSlots, index * PLACES, (index + 1) * PLACES, NONE);
        linkNewest(index);
        return index;
    }

    private int evictOldest() {
        int index = mOldest;
        unlink(index);
        int bucket = bucket(mKeys[index]);
        if (mHeads[bucket] == index) {
            mHeads[bucket] = mChain[index];
            return index;
        }
        int before = mHeads[bucket];
        while (mChain[before] != index) {
            before = mChain[before];
        }
        mChain[before] = mChain[index];
        return index;
    }

    private void unlink(int index) {
        int older = mOlder[index];
        int newer = mNewer[index];
        if (older == NONE) {
            mOldest = newer;
        } else {
            mNewer[older] = newer;
        }
        if (newer == NONE) {
            mNewest = older;
        } else {
            mOlder[newer] = older;
        }
    }

    private void linkNewest(int index) {
        mOlder[index] = mNewest;
        mNewer[index] = NONE;
        if (mNewest == NONE) {
            mOldest = index;
        } else {
            mNewer[mNewest] = index;
        }
        mNewest = index;
    }

    private int bucket(long key) {
        return (int) Mixer.mix(key) & mMask;
    }
}
