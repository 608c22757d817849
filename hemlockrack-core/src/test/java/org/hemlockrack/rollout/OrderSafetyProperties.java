package org.hemlockrack.rollout;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import java.util.PriorityQueue;
import java.util.SplittableRandom;
import net.jqwik.api.Example;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;

/**
 * Simulates one backend server, three owners and a sequence of controllers. Messages are delayed
 * and reordered, the ownership of the server moves, and deposed controllers continue to send
 * orders. All times are milliseconds, also those that the sender takes as nanoseconds.
 */
class OrderSafetyProperties {
    private static final BackendId SERVER = BackendId.of("b");
    private static final ModelVersion VERSION = ModelVersion.of("m", "2");
    private static final long LEASE_MILLIS = 2_000;
    private static final long ANNOUNCE_MILLIS = 500;

    /** The mechanism that is disabled. */
    private enum Variant {
        CORRECT(true),
        CORRECT_WITHOUT_FENCING(false),
        SERVER_IGNORES_FENCE(true),
        NO_WAIT(false),
        NO_CONFIRMATION(false);

        private final boolean mChecksFencing;

        Variant(boolean checksFencing) {
            mChecksFencing = checksFencing;
        }
    }

    /** An order that took effect, and the owner that sent it. */
    private record Effect(long millis, int owner, ModelOrder order) {}

    private record Pending(long millis, long number, Runnable action) {}

    /**
     * Guards against an old order that takes effect after a newer one, as happens if two owners
     * send at the same time or if an order of a deposed controller is not refused.
     */
    @Example
    void onlyNewestOrdersTakeEffect() {
        for (Variant variant : List.of(Variant.CORRECT, Variant.CORRECT_WITHOUT_FENCING)) {
            List<String> violations = new ArrayList<>();
            int effects = 0;
            for (long seed = 0; seed < 1000; seed++) {
                effects += new Simulation(seed, variant).run(violations);
            }
            System.out.println("orders " + variant + " histories=1000 effects=" + effects);
            assertEquals(List.of(), violations);
            assertTrue(effects > 10_000, "effects " + effects);
        }
    }

    /** Verifies the test above: it must fail if a mechanism is disabled (seeds 0 to 199). */
    @Example
    void disabledMechanismsAreDetected() {
        for (Variant variant :
                List.of(Variant.SERVER_IGNORES_FENCE, Variant.NO_WAIT, Variant.NO_CONFIRMATION)) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 200; seed++) {
                new Simulation(seed, variant).run(violations);
            }
            assertTrue(violations.size() >= 10, variant + " violations: " + violations.size());
        }
    }

    private static final class Simulation {
        private final SplittableRandom mRandom;
        private final long mSeed;
        private final Variant mVariant;
        private final RolloutState mState = RolloutState.create();
        private final List<OrderSender> mOwners = new ArrayList<>();
        private final PriorityQueue<Pending> mQueue =
                new PriorityQueue<>(
                        (a, b) ->
                                a.millis() == b.millis()
                                        ? Long.compare(a.number(), b.number())
                                        : Long.compare(a.millis(), b.millis()));
        private final List<Effect> mEffects = new ArrayList<>();
        private final long[] mLeaseEnd = new long[3];
        private ModelOrder mNewest =
                new ModelOrder(new FencingToken(0, 0), OrderKind.LOAD, SERVER, VERSION);
        private FencingToken mServerToken = new FencingToken(0, 0);
        private int mOwner;
        private long mNowMillis;
        private long mNumber;
        private long mWaitUntil;

        Simulation(long seed, Variant variant) {
            mSeed = seed;
            mVariant = variant;
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < 3; i++) {
                mOwners.add(OrderSender.create());
            }
        }

        int run(List<String> violations) {
            long sequence = 0;
            for (mNowMillis = 0; mNowMillis < 60_000; mNowMillis += 50) {
                if (mNowMillis % ANNOUNCE_MILLIS == 0) {
                    announce();
                }
                if (mRandom.nextInt(60) == 0) {
                    mState.apply(
                            mNowMillis,
                            mNowMillis,
                            new RolloutCommand.AcquireAuthority("a" + mNowMillis, "c").encode());
                    sequence = 0;
                }
                boolean deposed = mRandom.nextInt(4) == 0;
                if (mRandom.nextInt(8) == 0) {
                    sendOrder(mState.authority() - (deposed ? 1 : 0), ++sequence, deposed);
                }
                while (!mQueue.isEmpty() && mQueue.peek().millis() <= mNowMillis) {
                    mQueue.poll().action().run();
                }
                for (int i = 0; i < 3; i++) {
                    int owner = i;
                    mOwners.get(i).onTimer(mNowMillis, output -> handleOutput(owner, output));
                }
            }
            checkOrder(violations);
            return mEffects.size();
        }

        private void announce() {
            if (mRandom.nextInt(5) == 0) {
                mOwner = mRandom.nextInt(3);
                long otherLeaseEnd = 0;
                for (int i = 0; i < 3; i++) {
                    otherLeaseEnd = Math.max(otherLeaseEnd, i == mOwner ? 0 : mLeaseEnd[i]);
                }
                mWaitUntil = mVariant == Variant.NO_WAIT ? 0 : otherLeaseEnd;
            }
            mLeaseEnd[mOwner] = mNowMillis + LEASE_MILLIS;
            OrderEvent leaseGranted =
                    new OrderEvent.LeaseGranted(
                            SERVER, mVariant.mChecksFencing, mWaitUntil, mLeaseEnd[mOwner]);
            deliver(mOwner, leaseGranted);
        }

        private void sendOrder(long authority, long sequence, boolean deposed) {
            ModelOrder order =
                    new ModelOrder(
                            new FencingToken(authority, sequence),
                            mRandom.nextBoolean() ? OrderKind.LOAD : OrderKind.UNLOAD,
                            SERVER,
                            VERSION);
            mNewest = deposed ? mNewest : order;
            int owner = mRandom.nextInt(3) > 0 ? mOwner : mRandom.nextInt(3);
            schedule(800, () -> deliver(owner, new OrderEvent.OrderReceived(order)));
        }

        private void deliver(int owner, OrderEvent event) {
            mOwners.get(owner).onEvent(mNowMillis, event, output -> handleOutput(owner, output));
        }

        private void handleOutput(int owner, OrderOutput output) {
            if (output instanceof OrderOutput.ConfirmOrder confirm) {
                ModelOrder order = confirm.order();
                schedule(
                        300,
                        () -> {
                            boolean valid =
                                    order.fencingToken().authority() == mState.authority()
                                            && order.equals(mNewest);
                            valid |= mVariant == Variant.NO_CONFIRMATION;
                            deliver(owner, new OrderEvent.ConfirmationReceived(order, valid));
                        });
            } else if (output instanceof OrderOutput.SendOrder send) {
                schedule(1_900, () -> arriveAtServer(owner, send));
            }
        }

        private void arriveAtServer(int owner, OrderOutput.SendOrder send) {
            ModelOrder order = send.order();
            boolean isChecked = mVariant.mChecksFencing && mVariant != Variant.SERVER_IGNORES_FENCE;
            if (mNowMillis < send.deadlineNanos() && !(isChecked && isOld(order))) {
                mServerToken = order.fencingToken();
                mEffects.add(new Effect(mNowMillis, owner, order));
                if (mRandom.nextInt(3) > 0) {
                    schedule(200, () -> deliver(owner, new OrderEvent.OrderAnswered(order)));
                }
            }
        }

        private boolean isOld(ModelOrder order) {
            return order.fencingToken().compareTo(mServerToken) < 0;
        }

        private void schedule(long maxMillis, Runnable action) {
            long millis = mNowMillis + mRandom.nextLong(maxMillis);
            mQueue.add(new Pending(millis, mNumber++, action));
        }

        private void checkOrder(List<String> violations) {
            Effect last = null;
            for (Effect effect : mEffects) {
                if (last != null
                        && effect.order().fencingToken().compareTo(last.order().fencingToken())
                                < 0) {
                    violations.add(mVariant + " seed " + mSeed + ": " + effect + " after " + last);
                    return;
                }
                last = effect;
            }
        }
    }

    /**
     * Guards against an owner that sends an order while the lease of the previous owner is still
     * valid.
     */
    @Example
    void orderWaitsForLeaseOfPreviousOwner() {
        OrderSender sender = OrderSender.create();
        List<OrderOutput> out = new ArrayList<>();
        ModelOrder order = new ModelOrder(new FencingToken(1, 1), OrderKind.LOAD, SERVER, VERSION);
        sender.onEvent(
                0, new OrderEvent.LeaseGranted(SERVER, false, LEASE_MILLIS, 3_000), out::add);
        sender.onEvent(10, new OrderEvent.OrderReceived(order), out::add);
        sender.onTimer(LEASE_MILLIS - 1, out::add);
        assertEquals(List.of(), out);
        assertEquals(LEASE_MILLIS, sender.nextTimerNanos());
        sender.onTimer(LEASE_MILLIS, out::add);
        assertEquals(List.of(new OrderOutput.ConfirmOrder(order)), out);
        sender.onEvent(
                LEASE_MILLIS + 1, new OrderEvent.ConfirmationReceived(order, true), out::add);
        assertEquals(new OrderOutput.SendOrder(order, 3_000), out.get(1));
        ModelOrder old = new ModelOrder(new FencingToken(0, 9), OrderKind.LOAD, SERVER, VERSION);
        sender.onEvent(LEASE_MILLIS + 2, new OrderEvent.OrderReceived(old), out::add);
        assertEquals(new OrderOutput.RefuseOrder(old, OrderRefusal.STALE), out.get(2));
    }
}
