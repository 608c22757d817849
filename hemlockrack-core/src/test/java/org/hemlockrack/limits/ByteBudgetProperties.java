package org.hemlockrack.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNotNull;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;

class ByteBudgetProperties {
    private static final long LIMIT_BYTES = 1_000;

    /**
     * Guards against reservations beyond the limit, against refusals of what fits, and against
     * bytes that are returned twice or never.
     */
    @Property(tries = 500)
    void reservesWhatFitsAndNothingElse(@ForAll long seed) {
        Random random = new Random(seed);
        ByteBudget budget = ByteBudget.of(LIMIT_BYTES);
        List<ByteBudget.Reservation> open = new ArrayList<>();
        long expectedBytes = 0;
        for (int step = 0; step < 200; step++) {
            if (random.nextInt(3) > 0) {
                long bytes = random.nextInt(400);
                ByteBudget.Reservation reservation = budget.tryReserve(bytes);
                if (expectedBytes + bytes > LIMIT_BYTES) {
                    assertNull(reservation);
                    continue;
                }
                assertNotNull(reservation);
                open.add(reservation);
                expectedBytes += bytes;
            } else if (!open.isEmpty()) {
                ByteBudget.Reservation closed = open.remove(random.nextInt(open.size()));
                closed.close();
                closed.close();
                expectedBytes -= closed.bytes();
            }
            assertEquals(expectedBytes, budget.reservedBytes());
        }
        open.forEach(ByteBudget.Reservation::close);
        assertEquals(0, budget.reservedBytes());
    }

    /** Guards against concurrent connections that exceed the limit together. */
    @Property(tries = 20)
    void concurrentReservationsStayWithinTheLimit() throws InterruptedException {
        ByteBudget budget = ByteBudget.of(LIMIT_BYTES);
        List<Thread> threads = new ArrayList<>();
        List<ByteBudget.Reservation> granted = new ArrayList<>();
        for (int i = 0; i < 8; i++) {
            Thread thread =
                    new Thread(
                            () -> {
                                for (int j = 0; j < 100; j++) {
                                    ByteBudget.Reservation reservation = budget.tryReserve(7);
                                    if (reservation != null) {
                                        synchronized (granted) {
                                            granted.add(reservation);
                                        }
                                    }
                                }
                            });
            threads.add(thread);
            thread.start();
        }
        for (Thread thread : threads) {
            thread.join();
        }
        assertEquals(LIMIT_BYTES / 7, granted.size());
        assertTrue(budget.reservedBytes() <= LIMIT_BYTES);
    }
}
