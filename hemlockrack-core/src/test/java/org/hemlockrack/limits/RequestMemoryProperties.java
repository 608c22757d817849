package org.hemlockrack.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.limits.RequestMemory.Kind;
import org.jspecify.annotations.Nullable;

/** Crowds of connections that want more memory than there is. */
class RequestMemoryProperties {
    private static final long LIMIT_BYTES = 8 << 20;
    private static final long STALL_MILLIS = 1_000;
    private static final long SECOND_NANOS = 1_000_000_000L;

    private final RequestMemory mMemory = RequestMemory.of(LIMIT_BYTES, STALL_MILLIS);

    private final class Connection implements RequestMemory.Holder {
        final RequestMemory.Account mAccount;
        @Nullable Long mSinceNanos = 0L;
        boolean mEvicted;

        Connection(String peer) {
            mAccount = mMemory.open(peer, this);
        }

        boolean tryHold(long bytes, long nowNanos) {
            if (mEvicted || !mAccount.tryReserve(Kind.BODY, bytes, nowNanos)) {
                return false;
            }
            mSinceNanos = mSinceNanos == null ? null : Long.valueOf(nowNanos);
            return true;
        }

        @Override
        public @Nullable Long incompleteSinceNanos() {
            return mEvicted ? null : mSinceNanos;
        }

        @Override
        public boolean evict() {
            mEvicted = true;
            mAccount.release(Kind.BODY, mAccount.heldBytes());
            return true;
        }
    }

    /** Guards against an eviction of clients that send while others have stopped. */
    @Example
    void stalledConnectionsAreEvictedFirst() {
        Connection stalled = new Connection("a");
        Connection sending = new Connection("b");
        assertTrue(stalled.tryHold(3 << 20, 0));
        assertTrue(sending.tryHold(4 << 20, SECOND_NANOS));
        assertTrue(new Connection("c").tryHold(1 << 20, SECOND_NANOS));
        assertTrue(stalled.mEvicted);
        assertFalse(sending.mEvicted);
    }

    /** Guards against one peer or workspace whose many requests push out those of others. */
    @Example
    void largestOfTheHolderOfMostIsEvicted() {
        Connection large = new Connection("a");
        assertTrue(large.tryHold(3 << 20, 0));
        Connection first = new Connection("b");
        Connection second = new Connection("c");
        first.mAccount.setWorkspace("key");
        second.mAccount.setWorkspace("key");
        assertTrue(first.tryHold(2 << 20, 0));
        assertTrue(second.tryHold((2 << 20) - 1, 0));
        assertTrue(new Connection("d").tryHold(1 << 20, 0));
        assertTrue(first.mEvicted);
        assertFalse(large.mEvicted || second.mEvicted);
    }

    /** Guards against requests at work that leave no room for small ones. */
    @Example
    void ordinaryRequestsKeepAReserve() {
        Connection atWork = new Connection("a");
        atWork.mSinceNanos = null;
        assertTrue(atWork.tryHold(LIMIT_BYTES / 8 * 7, 0));
        assertFalse(new Connection("b").tryHold(RequestMemory.ORDINARY_BYTES + 1, 0));
        assertTrue(new Connection("c").tryHold(RequestMemory.ORDINARY_BYTES, 0));
        assertFalse(atWork.mEvicted);
    }

    /** Guards against one shortage that closes all idle connections before the first has ended. */
    @Example
    void fewIdleConnectionsAreEvictedAtOnce() {
        RequestMemory.Account[] accounts = new RequestMemory.Account[7];
        int[] evicted = new int[1];
        for (int i = 0; i < accounts.length; i++) {
            accounts[i] = mMemory.open("a", new IdleConnection(evicted));
            assertTrue(accounts[i].tryReserve(Kind.CONNECTION, 1 << 20, 0));
        }
        RequestMemory.Account next = mMemory.open("b", new IdleConnection(evicted));
        assertFalse(next.tryReserve(Kind.CONNECTION, 1 << 20, SECOND_NANOS));
        assertFalse(next.tryReserve(Kind.CONNECTION, 1 << 20, SECOND_NANOS));
        assertEquals(1, evicted[0]);
        accounts[0].release(Kind.CONNECTION, 1 << 20);
        assertTrue(next.tryReserve(Kind.CONNECTION, 1 << 20, SECOND_NANOS));
    }

    private record IdleConnection(int[] evicted) implements RequestMemory.Holder {
        @Override
        public @Nullable Long incompleteSinceNanos() {
            return null;
        }

        @Override
        public Long idleSinceNanos() {
            return 0L;
        }

        @Override
        public boolean evict() {
            evicted[0]++;
            return true;
        }
    }

    /** Guards against bytes above the limit and bytes that are never returned. */
    @Property
    void heldBytesStayWithinTheLimit(@ForAll long seed) {
        Random random = new Random(seed);
        List<Connection> connections = new ArrayList<>();
        for (int i = 0; i < 50; i++) {
            connections.add(new Connection("peer" + random.nextInt(5)));
        }
        for (int step = 0; step < 500; step++) {
            Connection connection = connections.get(random.nextInt(connections.size()));
            connection.tryHold(random.nextInt(1 << 20), step * SECOND_NANOS / 10);
            if (random.nextInt(4) == 0) {
                connection.mSinceNanos = null;
            }
            long sumBytes = connections.stream().mapToLong(c -> c.mAccount.heldBytes()).sum();
            assertEquals(sumBytes, mMemory.heldBytes(Kind.BODY));
            assertTrue(sumBytes <= LIMIT_BYTES);
        }
        connections.forEach(Connection::evict);
        assertEquals(0, mMemory.heldBytes(Kind.BODY));
        // The tries of a property share the memory; each reservation looks at all open accounts.
        connections.forEach(connection -> connection.mAccount.close());
    }
}
