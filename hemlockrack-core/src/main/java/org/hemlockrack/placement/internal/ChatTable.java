package org.hemlockrack.placement.internal;

import java.util.Arrays;

/**
 * Fixed-size map from chat hash to the last two servers that served the chat, with eviction of the
 * least recently used chat. Hash table with chaining in parallel arrays, without objects per chat.
 * Servers are identified by the slots of {@link ServerCacheState}; times are ticks.
 */
final class ChatTable {
    static final int NONE = -1;
    static final int SERVERS_PER_CHAT = 2;

    private final int mCapacity;
    private final int mMask;
    private final int[] mBucketHeads;
    private final int[] mNextInBucket;
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
        mBucketHeads = new int[buckets];
        mNextInBucket = new int[capacity];
        mOlder = new int[capacity];
        mNewer = new int[capacity];
        mKeys = new long[capacity];
        mSlots = new int[capacity * SERVERS_PER_CHAT];
        mTicks = new int[capacity * SERVERS_PER_CHAT];
        Arrays.fill(mBucketHeads, NONE);
        Arrays.fill(mSlots, NONE);
    }

    static ChatTable create(int capacity) {
        return new ChatTable(capacity);
    }

    int size() {
        return mSize;
    }

    long sizeBytes() {
        long ints = mBucketHeads.length + mNextInBucket.length + mOlder.length + mNewer.length;
        return (ints + mSlots.length + mTicks.length) * Integer.BYTES
                + (long) mKeys.length * Long.BYTES;
    }

    /** Returns the index of a chat, or {@link #NONE}. */
    int find(long key) {
        int i = mBucketHeads[bucket(key)];
        while (i != NONE && mKeys[i] != key) {
            i = mNextInBucket[i];
        }
        return i;
    }

    /** Returns the slot of one of the servers of a chat, or {@link #NONE}. */
    int slot(int index, int position) {
        return mSlots[index * SERVERS_PER_CHAT + position];
    }

    /** Returns when that server last served the chat. */
    int tick(int index, int position) {
        return mTicks[index * SERVERS_PER_CHAT + position];
    }

    /** Records that a server served a chat; an older report never lowers the recorded tick. */
    void recordUse(long key, int slot, int tick) {
        int index = touch(key);
        int at = index * SERVERS_PER_CHAT + positionFor(index, slot);
        boolean known = mSlots[at] == slot;
        mTicks[at] = known ? Math.max(mTicks[at], tick) : tick;
        mSlots[at] = slot;
    }

    /**
     * Removes a server of a chat unless it served the chat after the given tick. Returns the tick
     * of its last use, or {@link #NONE} if nothing was removed.
     */
    int remove(long key, int slot, int tick) {
        int index = find(key);
        if (index == NONE) {
            return NONE;
        }
        for (int at = index * SERVERS_PER_CHAT; at < (index + 1) * SERVERS_PER_CHAT; at++) {
            if (mSlots[at] == slot && mTicks[at] <= tick) {
                mSlots[at] = NONE;
                return mTicks[at];
            }
        }
        return NONE;
    }

    private int positionFor(int index, int slot) {
        int first = index * SERVERS_PER_CHAT;
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
        mNextInBucket[index] = mBucketHeads[bucket];
        mBucketHeads[bucket] = index;
        Arrays.fill(mSlots, index * SERVERS_PER_CHAT, (index + 1) * SERVERS_PER_CHAT, NONE);
        linkNewest(index);
        return index;
    }

    private int evictOldest() {
        int index = mOldest;
        unlink(index);
        int bucket = bucket(mKeys[index]);
        if (mBucketHeads[bucket] == index) {
            mBucketHeads[bucket] = mNextInBucket[index];
            return index;
        }
        int before = mBucketHeads[bucket];
        while (mNextInBucket[before] != index) {
            before = mNextInBucket[before];
        }
        mNextInBucket[before] = mNextInBucket[index];
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
        return (int) StableHash.mix(key) & mMask;
    }
}
