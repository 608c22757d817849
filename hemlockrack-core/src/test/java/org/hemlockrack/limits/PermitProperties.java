package org.hemlockrack.limits;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;
import net.jqwik.api.Example;
import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import org.hemlockrack.seeds.FixedSeed;

/**
 * Many instances that spend permits of one limit: they come and go, freeze, are cut off, and see
 * the demand evenly or all at one of them.
 */
class PermitProperties {
    private static final long STEP_NANOS = TimeUnit.MILLISECONDS.toNanos(20);
    private static final long STEP_MILLIS = TimeUnit.NANOSECONDS.toMillis(STEP_NANOS);
    private static final int STEPS_PER_SECOND = 50;
    private static final int MAX_REPORT_STEPS = 50;
    private static final int WINDOW_STEPS = 10 * STEPS_PER_SECOND;
    private static final FleetLimit LIMIT = new FleetLimit(200, 0.2, TimeUnit.SECONDS.toNanos(10));
    private static final String NAME = "assistant";

    /** One instance. */
    private static final class Instance {
        final String mId;
        final PermitStock mStock;
        long mRequests;
        long mFrozenUntilStep;
        boolean mCutOff;

        Instance(String id, long nowNanos) {
            mId = id;
            mStock = PermitStock.create(nowNanos);
        }
    }

    /** A fleet whose permits last for a given time. */
    private static final class Fleet {
        final SplittableRandom mRandom;
        final long mLifetimeNanos;
        final int mReportSteps;
        final List<PermitKeeper> mKeepers = new ArrayList<>();
        final List<Instance> mInstances = new ArrayList<>();
        final List<Integer> mSpent = new ArrayList<>();
        final List<Integer> mRequests = new ArrayList<>();
        long mStep;
        int mNextId;

        Fleet(long seed, int instances, int keepers, long lifetimeNanos) {
            mRandom = new SplittableRandom(seed);
            mLifetimeNanos = lifetimeNanos;
            mReportSteps = 5 + mRandom.nextInt(MAX_REPORT_STEPS - 4);
            for (int i = 0; i < keepers; i++) {
                mKeepers.add(PermitKeeper.createFull(0));
            }
            for (int i = 0; i < instances; i++) {
                addInstance();
            }
        }

        void addInstance() {
            mInstances.add(new Instance("i" + mNextId++, nowNanos()));
        }

        long nowNanos() {
            return mStep * STEP_NANOS;
        }

        /**
         * Advances by one step.
         *
         * @param requests requests in the step
         * @param retries retries in the step that want a permit
         * @param target the instance that sees them, or -1 for random ones
         */
        void step(int requests, int retries, int target) {
            mStep++;
            for (int i = 0; i < requests; i++) {
                pick(target).mRequests++;
            }
            if (mStep % mReportSteps == 0) {
                reportRequests();
            }
            int spent = 0;
            for (int i = 0; i < retries; i++) {
                spent += retry(pick(target)) ? 1 : 0;
            }
            mSpent.add(spent);
            mRequests.add(requests);
        }

        private Instance pick(int target) {
            return mInstances.get(target < 0 ? mRandom.nextInt(mInstances.size()) : target);
        }

        private void reportRequests() {
            for (Instance each : mInstances) {
                if (each.mCutOff) {
                    continue;
                }
                for (PermitKeeper keeper : mKeepers) {
                    keeper.recordRequests(nowNanos(), each.mId, NAME, each.mRequests);
                }
            }
        }

        private boolean retry(Instance instance) {
            long nowNanos = nowNanos();
            long wallMillis = mStep * STEP_MILLIS;
            if (instance.mFrozenUntilStep > mStep) {
                return false;
            }
            instance.mStock.recordDemand(nowNanos);
            int asked = 0;
            while (!instance.mCutOff && asked < mKeepers.size()) {
                int wanted = instance.mStock.wanted(nowNanos, wallMillis, 1);
                if (wanted == 0) {
                    break;
                }
                int first = (int) (mStep % mKeepers.size());
                PermitKeeper keeper = mKeepers.get((first + asked) % mKeepers.size());
                int granted = keeper.grant(nowNanos, NAME, LIMIT, wanted, mKeepers.size());
                instance.mStock.add(nowNanos, wallMillis, mLifetimeNanos, granted);
                asked++;
            }
            return instance.mStock.tryTake(nowNanos, wallMillis);
        }

        /** Returns the largest excess over the limit in any window. */
        double worstExcess() {
            double worst = -Double.MAX_VALUE;
            for (int end = 1; end <= mSpent.size(); end++) {
                int requests =
                        Math.max(
                                sum(mRequests, end),
                                Math.max(
                                        sum(mRequests, end - WINDOW_STEPS / 2),
                                        sum(mRequests, end - WINDOW_STEPS)));
                worst = Math.max(worst, sum(mSpent, end) - LIMIT.permits(requests));
            }
            return worst;
        }

        static int sum(List<Integer> counts, int end) {
            int start = Math.max(0, end - WINDOW_STEPS);
            return end <= start
                    ? 0
                    : counts.subList(start, end).stream().mapToInt(Integer::intValue).sum();
        }
    }

    private static Fleet play(long seed, int instances, long lifetimeNanos) {
        SplittableRandom random = new SplittableRandom(seed);
        Fleet fleet = new Fleet(seed, instances, 3 + random.nextInt(6), lifetimeNanos);
        int target = random.nextBoolean() ? -1 : 0;
        int requests = random.nextInt(12);
        for (int step = 0; step < 40 * STEPS_PER_SECOND; step++) {
            if (random.nextInt(150) == 0) {
                requests = random.nextInt(12);
                target = random.nextBoolean() ? -1 : random.nextInt(fleet.mInstances.size());
            }
            Instance victim = fleet.mInstances.get(random.nextInt(fleet.mInstances.size()));
            switch (random.nextInt(60)) {
                case 0 -> victim.mFrozenUntilStep = step + random.nextInt(400);
                case 1 -> victim.mCutOff = !victim.mCutOff;
                case 2 -> fleet.addInstance();
                case 3 ->
                        fleet.mKeepers.set(
                                random.nextInt(fleet.mKeepers.size()),
                                PermitKeeper.createEmpty(fleet.nowNanos()));
                default -> {}
            }
            fleet.step(requests, random.nextInt(20), target);
        }
        return fleet;
    }

    /** Guards against more retries than the limit of the whole fleet in any window. */
    @Property(tries = 40)
    void limitHoldsForAnyNumberOfInstances(@ForAll long seed) {
        int instances = 1 + new SplittableRandom(seed).nextInt(1_000);
        Fleet fleet = play(seed, instances, PermitKeeper.LIFETIME_NANOS);
        assertTrue(fleet.worstExcess() <= 0, "excess " + fleet.worstExcess());
    }

    /**
     * Guards against a limit that shrinks to nothing when it is divided by the number of instances:
     * with 100 instances, none of them ever had a whole permit.
     */
    @Property(tries = 40)
    @FixedSeed("1")
    void oneOfThreeHundredInstancesGetsTheWholeLimit(@ForAll long seed) {
        Fleet fleet = new Fleet(seed, 300, 5, PermitKeeper.LIFETIME_NANOS);
        for (int step = 0; step < 2 * STEPS_PER_SECOND; step++) {
            fleet.step(6, 0, -1);
        }
        for (int step = 0; step < 12 * STEPS_PER_SECOND; step++) {
            fleet.step(6, 10, 7);
        }
        double allowed = LIMIT.permits(6 * WINDOW_STEPS);
        int spent = Fleet.sum(fleet.mSpent, fleet.mSpent.size());
        assertTrue(spent >= 0.9 * allowed, spent + " of " + allowed);
        assertTrue(fleet.worstExcess() <= 0, "excess " + fleet.worstExcess());
    }

    /** Guards against a frozen or suspended instance that spends a permit after its end. */
    @Example
    void permitsEndByEitherClock() {
        PermitStock stock = PermitStock.create(0);
        stock.add(0, 0, PermitKeeper.LIFETIME_NANOS, 2);
        assertTrue(stock.tryTake(PermitKeeper.LIFETIME_NANOS - 1, 0));
        long wallMillis = TimeUnit.NANOSECONDS.toMillis(PermitKeeper.LIFETIME_NANOS);
        assertEquals(false, stock.tryTake(1, wallMillis));
        stock.add(0, 0, PermitKeeper.LIFETIME_NANOS, 1);
        assertEquals(false, stock.tryTake(PermitKeeper.LIFETIME_NANOS, 0));
    }

    /** Guards against histories that would not notice permits without an end. */
    @Example
    void permitsWithoutAnEndViolateTheLimit() {
        Fleet fleet = new Fleet(1, 100, 5, TimeUnit.HOURS.toNanos(1));
        for (int step = 0; step < 200 * STEPS_PER_SECOND; step++) {
            // Demand moves on, and each instance keeps what it had asked for in advance.
            fleet.step(0, step % 5 == 0 ? 1 : 0, step / 100 % 100);
        }
        for (int step = 0; step < 2 * STEPS_PER_SECOND; step++) {
            fleet.step(0, 40, -1);
        }
        assertTrue(fleet.worstExcess() > 0, "excess " + fleet.worstExcess());
    }
}
