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
 * One backend server, three owners and a sequence of controllers. Messages are late and out of
 * order, the server moves between owners, and deposed controllers go on sending.
 */
class OrderSafetyProperties {
    private static final BackendId SERVER = BackendId.of("b");
    private static final ModelVersion VERSION = ModelVersion.of("m", "2");
    private static final long LEASE = 2_000;
    private static final long ANNOUNCE = 500;

    /** Which mechanism is missing. */
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

    /** An order that took effect, and who sent it. */
    private record Effect(long millis, int owner, Order order) {}

    private record Pending(long millis, long number, Runnable action) {}

    /** Guards against an old order that takes effect after a newer one, and against two senders. */
    @Example
    void onlyNewestOrdersTakeEffect() {
        for (Variant variant : List.of(Variant.CORRECT, Variant.CORRECT_WITHOUT_FENCING)) {
            List<String> violations = new ArrayList<>();
            int effects = 0;
            for (long seed = 0; seed < 1000; seed++) {
                effects += new World(seed, variant).run(violations);
            }
            System.out.println("orders " + variant + " histories=1000 effects=" + effects);
            assertEquals(List.of(), violations);
            assertTrue(effects > 10_000, "effects " + effects);
        }
    }

    /** Checks the checker: each missing mechanism must be caught (seeds 0 to 199). */
    @Example
    void missingMechanismsAreCaught() {
        for (Variant variant :
                List.of(Variant.SERVER_IGNORES_FENCE, Variant.NO_WAIT, Variant.NO_CONFIRMATION)) {
            List<String> violations = new ArrayList<>();
            for (long seed = 0; seed < 200; seed++) {
                new World(seed, variant).run(violations);
            }
            assertTrue(violations.size() >= 10, variant + " caught " + violations.size());
        }
    }

    private static final class World {
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
        private Order mNewest = new Order(new FencingToken(0, 0), OrderKind.LOAD, SERVER, VERSION);
        private FencingToken mServerFence = new FencingToken(0, 0);
        private int mOwner;
        private long mNow;
        private long mNumber;
        private long mWaitUntil;

        World(long seed, Variant variant) {
            mSeed = seed;
            mVariant = variant;
            mRandom = new SplittableRandom(seed);
            for (int i = 0; i < 3; i++) {
                mOwners.add(OrderSender.create());
            }
        }

        int run(List<String> violations) {
            long sequence = 0;
            for (mNow = 0; mNow < 60_000; mNow += 50) {
                if (mNow % ANNOUNCE == 0) {
                    announce();
                }
                if (mRandom.nextInt(60) == 0) {
                    mState.apply(
                            mNow,
                            mNow,
                            new RolloutCommand.AcquireAuthority("a" + mNow, "c").encode());
                    sequence = 0;
                }
                boolean deposed = mRandom.nextInt(4) == 0;
                if (mRandom.nextInt(8) == 0) {
                    order(mState.authority() - (deposed ? 1 : 0), ++sequence, deposed);
                }
                while (!mQueue.isEmpty() && mQueue.peek().millis() <= mNow) {
                    mQueue.poll().action().run();
                }
                for (int i = 0; i < 3; i++) {
                    int owner = i;
                    mOwners.get(i).onTimer(mNow, output -> output(owner, output));
                }
            }
            check(violations);
            return mEffects.size();
        }

        private void announce() {
            if (mRandom.nextInt(5) == 0) {
                mOwner = mRandom.nextInt(3);
                long others = 0;
                for (int i = 0; i < 3; i++) {
                    others = Math.max(others, i == mOwner ? 0 : mLeaseEnd[i]);
                }
                mWaitUntil = mVariant == Variant.NO_WAIT ? 0 : others;
            }
            mLeaseEnd[mOwner] = mNow + LEASE;
            OrderEvent owned =
                    new OrderEvent.LeaseGranted(
                            SERVER, mVariant.mChecksFencing, mWaitUntil, mLeaseEnd[mOwner]);
            deliver(mOwner, owned);
        }

        private void order(long authority, long sequence, boolean deposed) {
            Order order =
                    new Order(
                            new FencingToken(authority, sequence),
                            mRandom.nextBoolean() ? OrderKind.LOAD : OrderKind.UNLOAD,
                            SERVER,
                            VERSION);
            mNewest = deposed ? mNewest : order;
            int owner = mRandom.nextInt(3) > 0 ? mOwner : mRandom.nextInt(3);
            later(800, () -> deliver(owner, new OrderEvent.OrderReceived(order)));
        }

        private void deliver(int owner, OrderEvent event) {
            mOwners.get(owner).onEvent(mNow, event, output -> output(owner, output));
        }

        private void output(int owner, OrderOutput output) {
            if (output instanceof OrderOutput.ConfirmOrder confirm) {
                Order order = confirm.order();
                later(
                        300,
                        () -> {
                            boolean valid =
                                    order.fence().authority() == mState.authority()
                                            && order.equals(mNewest);
                            valid |= mVariant == Variant.NO_CONFIRMATION;
                            deliver(owner, new OrderEvent.ConfirmationReceived(order, valid));
                        });
            } else if (output instanceof OrderOutput.SendOrder send) {
                later(1_900, () -> arrive(owner, send));
            }
        }

        private void arrive(int owner, OrderOutput.SendOrder send) {
            Order order = send.order();
            boolean checked = mVariant.mChecksFencing && mVariant != Variant.SERVER_IGNORES_FENCE;
            if (mNow < send.deadlineNanos() && !(checked && isOld(order))) {
                mServerFence = order.fence();
                mEffects.add(new Effect(mNow, owner, order));
                if (mRandom.nextInt(3) > 0) {
                    later(200, () -> deliver(owner, new OrderEvent.OrderAnswered(order)));
                }
            }
        }

        private boolean isOld(Order order) {
            return order.fence().compareTo(mServerFence) < 0;
        }

        private void later(long maxMillis, Runnable action) {
            long millis = mNow + mRandom.nextLong(maxMillis);
            mQueue.add(new Pending(millis, mNumber++, action));
        }

        private void check(List<String> violations) {
            Effect last = null;
            for (Effect effect : mEffects) {
                if (last != null && effect.order().fence().compareTo(last.order().fence()) < 0) {
                    violations.add(mVariant + " seed " + mSeed + ": " + effect + " after " + last);
                    return;
                }
                last = effect;
            }
        }
    }

    /** Guards against an owner that sends at once while the earlier owner may still send. */
    @Example
    void orderWaitsForLeaseOfEarlierOwner() {
        OrderSender sender = OrderSender.create();
        List<OrderOutput> out = new ArrayList<>();
        Order order = new Order(new FencingToken(1, 1), OrderKind.LOAD, SERVER, VERSION);
        sender.onEvent(0, new OrderEvent.LeaseGranted(SERVER, false, LEASE, 3_000), out::add);
        sender.onEvent(10, new OrderEvent.OrderReceived(order), out::add);
        sender.onTimer(LEASE - 1, out::add);
        assertEquals(List.of(), out);
        assertEquals(LEASE, sender.nextTimerNanos());
        sender.onTimer(LEASE, out::add);
        assertEquals(List.of(new OrderOutput.ConfirmOrder(order)), out);
        sender.onEvent(LEASE + 1, new OrderEvent.ConfirmationReceived(order, true), out::add);
        assertEquals(new OrderOutput.SendOrder(order, 3_000), out.get(1));
        Order old = new Order(new FencingToken(0, 9), OrderKind.LOAD, SERVER, VERSION);
        sender.onEvent(LEASE + 2, new OrderEvent.OrderReceived(old), out::add);
        assertEquals(new OrderOutput.RefuseOrder(old, OrderRefusal.STALE), out.get(2));
    }
}
