package org.hemlockrack.admission;

import static org.junit.jupiter.api.Assertions.assertFalse;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.SplittableRandom;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.model.WorkspaceId;

class WorkspaceLimiterProperties {
    private static final WorkspaceLimiter.Quota QUOTA = new WorkspaceLimiter.Quota(5, 10, 20);
    private static final WorkspaceId CALM = WorkspaceId.of("calm");

    /** Concurrent requests and their rate must stay within the quota. */
    @Property(tries = 500)
    void quotaHolds(@ForAll long seed) {
        assertTrue(staysWithinQuota(seed, QUOTA));
    }

    /** The property above must fail for a limiter with a larger quota. */
    @Example
    void largerQuotasAreDetected() {
        assertFalse(staysWithinQuota(1, new WorkspaceLimiter.Quota(6, 10, 20)));
        assertFalse(staysWithinQuota(1, new WorkspaceLimiter.Quota(5, 30, 20)));
    }

    /** A surge of one workspace must not use up the quota of another. */
    @Example
    void workspacesAreIndependent() {
        WorkspaceLimiter limiter = WorkspaceLimiter.create(QUOTA);
        for (int i = 0; i < 5_000; i++) {
            limiter.tryAcquire(0, WorkspaceId.of("surge" + i % 3_000));
        }
        assertTrue(limiter.tryAcquire(0, CALM).allowed());
    }

    private static boolean staysWithinQuota(long seed, WorkspaceLimiter.Quota quota) {
        SplittableRandom random = new SplittableRandom(seed);
        WorkspaceLimiter limiter = WorkspaceLimiter.create(quota);
        long now = 0;
        int open = 0;
        int accepted = 0;
        for (int i = 0; i < 2_000; i++) {
            now += random.nextLong(20_000_000L);
            if (open > 0 && random.nextInt(2) == 0) {
                limiter.release(CALM);
                open--;
            }
            if (limiter.tryAcquire(now, CALM).allowed()) {
                open++;
                accepted++;
            }
            if (open > 5 || accepted > 20 + now / 1e9 * 10 + 1e-6) {
                return false;
            }
        }
        return true;
    }
}
