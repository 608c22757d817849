package org.hemlockrack.limits;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicLong;
import org.jspecify.annotations.Nullable;

/**
 * Shares one byte budget between the connections that receive requests. When the budget is short,
 * connections without progress are evicted first, then the largest one of the peer or workspace
 * that holds most. Thread-safe.
 */
public final class RequestMemory {
    /** What the bytes are held for. */
    public enum Kind {
        /** Request heads and the trailers of chunked bodies. */
        HEAD,
        /** Request bodies. */
        BODY,
        /** Connections themselves: their buffers. */
        CONNECTION,
        /** Responses that clients have not taken; they have a budget of their own. */
        RESPONSE
    }

    /**
     * Bytes up to which a connection may also use the reserve. A prompt of 12,000 tokens has about
     * 48 KiB.
     */
    public static final long ORDINARY_BYTES = 64 << 10;

    /** The reserve is this part of the budget. */
    private static final long RESERVE_DIVISOR = 8;

    /**
     * Part of the budget that one pass over stalled connections frees, so that a crowd does not
     * cause a pass for each reservation.
     */
    private static final long PASS_DIVISOR = 16;

    /** The budget for responses is this part of that for requests. */
    private static final long RESPONSE_DIVISOR = 3;

    private final long mLimitBytes;
    private final long mStallNanos;
    private final AtomicLong mHeldBytes = new AtomicLong();
    private final Map<Kind, AtomicLong> mBytesByKind =
            Map.of(
                    Kind.HEAD, new AtomicLong(),
                    Kind.BODY, new AtomicLong(),
                    Kind.CONNECTION, new AtomicLong(),
                    Kind.RESPONSE, new AtomicLong());
    private final AtomicLong mEvictions = new AtomicLong();

    /** Bytes of evicted connections that have not ended. */
    private final AtomicLong mEndingBytes = new AtomicLong();

    private final Set<Account> mAccounts = ConcurrentHashMap.newKeySet();

    private final @Nullable RequestMemory mResponses;

    private RequestMemory(long limitBytes, long stallMillis, @Nullable RequestMemory responses) {
        mLimitBytes = limitBytes;
        mStallNanos = TimeUnit.MILLISECONDS.toNanos(stallMillis);
        mResponses = responses;
    }

    /**
     * Creates a budget of which nothing is held.
     *
     * @param limitBytes bytes that all connections can hold together
     * @param stallMillis time without a received byte after which an incomplete request counts as
     *     stalled
     * @return the budget
     */
    public static RequestMemory of(long limitBytes, long stallMillis) {
        RequestMemory responses =
                new RequestMemory(limitBytes / RESPONSE_DIVISOR, stallMillis, null);
        return new RequestMemory(limitBytes, stallMillis, responses);
    }

    /**
     * Returns the budget for responses to the same connections. It is separate, so that neither can
     * take the memory of the other.
     */
    public RequestMemory responses() {
        return Objects.requireNonNull(mResponses);
    }

    /**
     * Adds a connection that holds nothing yet.
     *
     * @param peer address of the client
     * @param holder the connection
     * @return its account, to be closed with the connection
     */
    public Account open(String peer, Holder holder) {
        Account account = new Account(peer, holder);
        mAccounts.add(account);
        return account;
    }

    /** Returns the bytes that are held. */
    public long heldBytes(Kind kind) {
        return mBytesByKind.get(kind).get();
    }

    /** Returns how many connections were evicted so far, also for the sake of responses. */
    public long evictions() {
        return mEvictions.get() + (mResponses == null ? 0 : mResponses.evictions());
    }

    /** A connection that holds memory. */
    public interface Holder {
        /**
         * Returns when the last byte of a request that has not arrived to its end was received, or
         * null if there is no such request. Other requests cannot be evicted.
         */
        @Nullable Long incompleteSinceNanos();

        /**
         * Returns since when the connection has had no request, or null if it has one. A connection
         * that has been idle for long is closed like a stalled one.
         */
        default @Nullable Long idleSinceNanos() {
            return null;
        }

        /**
         * Gives up the incomplete request, or the connection if it has none, and returns its bytes
         * to the account. Must not wait for a lock that is held while bytes are reserved.
         *
         * @return whether it was given up
         */
        boolean evict();
    }

    private boolean tryHold(long bytes, boolean ordinary) {
        long limitBytes = ordinary ? mLimitBytes : mLimitBytes - mLimitBytes / RESERVE_DIVISOR;
        long held = mHeldBytes.get();
        while (bytes <= limitBytes - held) {
            if (mHeldBytes.compareAndSet(held, held + bytes)) {
                return true;
            }
            held = mHeldBytes.get();
        }
        return false;
    }

    /**
     * Returns whether a connection counts as stalled.
     *
     * @param sinceNanos monotonic time of its last byte or response
     * @param nowNanos monotonic time
     */
    public boolean isStalled(long sinceNanos, long nowNanos) {
        return nowNanos - sinceNanos >= mStallNanos;
    }

    /**
     * Evicts stalled connections while little memory is left, so that the next clients need not
     * wait until the connections have ended.
     *
     * @param nowNanos monotonic time
     */
    public void makeRoom(long nowNanos) {
        long leftBytes = mLimitBytes - mLimitBytes / RESERVE_DIVISOR - mHeldBytes.get();
        if (leftBytes < mLimitBytes / PASS_DIVISOR) {
            evictStalled(null, 0, nowNanos);
        }
    }

    /**
     * Evicts stalled connections, the largest first; returns whether memory was freed. What a
     * connection itself uses is free only when it has ended, so a pass counts those that are
     * ending.
     */
    private boolean evictStalled(@Nullable Account except, long bytes, long nowNanos) {
        long heldBytes = mHeldBytes.get();
        long wantedBytes = Math.max(bytes, mLimitBytes / PASS_DIVISOR) - mEndingBytes.get();
        if (wantedBytes <= 0) {
            return false;
        }
        for (Candidate candidate : candidates(true)) {
            if (wantedBytes <= 0) {
                break;
            }
            if (candidate.account != except
                    && isStalled(candidate.sinceNanos, nowNanos)
                    && evict(candidate.account)) {
                wantedBytes -= candidate.bytes;
            }
        }
        return mHeldBytes.get() < heldBytes;
    }

    /**
     * Evicts the largest connection of the peer or workspace that holds most, unless that is the
     * given one; returns whether one was evicted.
     */
    private boolean evictLargest(Account except, long bytes) {
        String largestHolder = largestHolder();
        for (Candidate candidate : candidates(false)) {
            if (candidate.bytes < except.heldBytes() + bytes) {
                return false;
            }
            if (candidate.account != except
                    && candidate.account.belongsTo(largestHolder)
                    && evict(candidate.account)) {
                return true;
            }
        }
        return false;
    }

    /**
     * Evicts a connection.
     *
     * @param account account of the connection
     * @return whether it was evicted
     */
    public boolean evict(Account account) {
        if (!account.mHolder.evict()) {
            return false;
        }
        account.setEnding();
        mEvictions.incrementAndGet();
        return true;
    }

    private record Candidate(Account account, long bytes, long sinceNanos) {}

    /** Returns the connections that can be evicted, the largest first. */
    private List<Candidate> candidates(boolean idleToo) {
        List<Candidate> candidates = new ArrayList<>();
        for (Account account : mAccounts) {
            long bytes = account.heldBytes();
            Long sinceNanos = bytes == 0 ? null : account.mHolder.incompleteSinceNanos();
            if (sinceNanos == null && idleToo && bytes > 0) {
                sinceNanos = account.mHolder.idleSinceNanos();
            }
            if (sinceNanos != null) {
                candidates.add(new Candidate(account, bytes, sinceNanos));
            }
        }
        candidates.sort(Comparator.comparingLong(Candidate::bytes).reversed());
        return candidates;
    }

    private String largestHolder() {
        Map<String, Long> bytesByHolder = new HashMap<>();
        for (Account account : mAccounts) {
            bytesByHolder.merge(account.mPeer, account.heldBytes(), Long::sum);
            String workspace = account.mWorkspace;
            if (workspace != null) {
                bytesByHolder.merge(workspace, account.heldBytes(), Long::sum);
            }
        }
        return bytesByHolder.entrySet().stream()
                .max(Map.Entry.comparingByValue())
                .map(Map.Entry::getKey)
                .orElse("");
    }

    /** The bytes that one connection holds. */
    public final class Account implements AutoCloseable {
        private final String mPeer;
        private final Holder mHolder;
        private final AtomicLong mBytes = new AtomicLong();

        /** Guarded by this, like the next field. */
        private long mConnectionBytes;

        private boolean mEnding;
        private volatile @Nullable String mWorkspace;

        private Account(String peer, Holder holder) {
            mPeer = "peer " + peer;
            mHolder = holder;
        }

        private boolean belongsTo(String holder) {
            return holder.equals(mPeer) || holder.equals(mWorkspace);
        }

        /** Sets the credentials of the latest request, which stand for its workspace. */
        public void setWorkspace(@Nullable String credentials) {
            mWorkspace = credentials == null ? null : "workspace " + credentials.hashCode();
        }

        /** Returns the bytes that the connection holds. */
        public long heldBytes() {
            return mBytes.get();
        }

        /**
         * Reserves bytes before they are allocated, if need be by evicting other connections.
         *
         * @param kind what the bytes are for
         * @param bytes number of bytes, not negative
         * @param nowNanos monotonic time
         * @return false if there is no room for them
         */
        public boolean tryReserve(Kind kind, long bytes, long nowNanos) {
            long requestBytes = mBytes.get() - connectionBytes() + bytes;
            boolean ordinary = kind != Kind.CONNECTION && requestBytes <= ORDINARY_BYTES;
            while (!tryHold(bytes, ordinary)) {
                if (!evictStalled(this, bytes, nowNanos) && !evictLargest(this, bytes)) {
                    return false;
                }
            }
            add(kind, bytes);
            return true;
        }

        /** Returns reserved bytes to the budget. */
        public void release(Kind kind, long bytes) {
            mHeldBytes.addAndGet(-bytes);
            add(kind, -bytes);
        }

        private synchronized void setEnding() {
            if (!mEnding) {
                mEnding = true;
                mEndingBytes.addAndGet(mConnectionBytes);
            }
        }

        private synchronized long connectionBytes() {
            return mConnectionBytes;
        }

        private synchronized void addConnectionBytes(long bytes) {
            mConnectionBytes += bytes;
            if (mEnding) {
                mEndingBytes.addAndGet(bytes);
            }
        }

        private void add(Kind kind, long bytes) {
            mBytes.addAndGet(bytes);
            mBytesByKind.get(kind).addAndGet(bytes);
            if (kind == Kind.CONNECTION) {
                addConnectionBytes(bytes);
            }
        }

        /** Removes the connection. Its bytes are to be released one by one. */
        @Override
        public void close() {
            mAccounts.remove(this);
        }
    }
}
