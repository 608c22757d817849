package org.hemlockrack.duties;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Random;
import java.util.Set;
import java.util.concurrent.TimeUnit;

/**
 * Simulates controllers that take a duty in turn, with crashes, wiped disks, partitions, suspended
 * machines and jumps of the time of day, and records every call that one of them makes.
 */
final class DutyHistory {
    static final long LEASE_MILLIS = 3_000;
    private static final int MACHINES = 3;
    private static final int STEP_MILLIS = 50;
    private static final int STEPS = 1_200;

    /** Faults of the implementation that the checks must find. */
    enum Variant {
        CORRECT,
        /** The lease is measured on the monotonic clock alone, which stands still in a freeze. */
        IGNORES_WALL_CLOCK,
        /** A new holder does not wait until the lease of the previous one has ended. */
        DOES_NOT_WAIT,
        /** A restarted process goes on with the token of its predecessor. */
        KEEPS_TOKEN_OF_MACHINE,
        /** The last counts of a window win. */
        REPLACES_COUNTS
    }

    record Call(long atMillis, String machine, String process, long token, UsageWindow window) {}

    private static final class Machine {
        private final String mName;
        private int mStarts = 1;
        private long mMonoNanos = 1;
        private long mWallSkewMillis;
        private long mFrozenUntilMillis;
        private long mCutUntilMillis;
        private DutyLease mLease = newLease();
        private boolean mLeads;

        private Machine(String name) {
            mName = name;
        }

        private String process() {
            return mName + "/" + mStarts;
        }
    }

    private final Random mRandom;
    private final Variant mVariant;
    private final List<Machine> mMachines = new ArrayList<>();
    private final List<Call> mCalls = new ArrayList<>();
    private DutyState mState = DutyState.EMPTY;
    private Machine mLeader;
    private long mNowMillis;
    private final Map<Long, UsageWindow> mLastCounts = new HashMap<>();

    private DutyHistory(long seed, Variant variant) {
        mRandom = new Random(seed);
        mVariant = variant;
        for (int i = 0; i < MACHINES; i++) {
            mMachines.add(new Machine("c" + i));
        }
        mLeader = mMachines.get(0);
        mLeader.mLeads = true;
    }

    private static DutyLease newLease() {
        return DutyLease.create(LEASE_MILLIS, true);
    }

    static List<Call> run(long seed, Variant variant) {
        DutyHistory history = new DutyHistory(seed, variant);
        for (int step = 0; step < STEPS; step++) {
            history.step();
        }
        return history.mCalls;
    }

    private void step() {
        mNowMillis += STEP_MILLIS;
        injectFault();
        electLeader();
        for (Machine machine : mMachines) {
            if (machine.mFrozenUntilMillis > mNowMillis) {
                // Its monotonic clock stands still.
                continue;
            }
            machine.mMonoNanos += TimeUnit.MILLISECONDS.toNanos(STEP_MILLIS);
            act(machine);
        }
    }

    private void injectFault() {
        if (mRandom.nextInt(30) > 0) {
            return;
        }
        Machine machine = mRandom.nextBoolean() ? mLeader : mMachines.get(mRandom.nextInt(3));
        switch (mRandom.nextInt(4)) {
            case 0 -> {
                // A crash; whether the disk is wiped makes no difference to a process without
                // durable state of its own.
                machine.mStarts++;
                machine.mLease = newLease();
                machine.mLeads = false;
            }
            case 1 -> machine.mFrozenUntilMillis = mNowMillis + mRandom.nextInt(6_000);
            case 2 -> machine.mCutUntilMillis = mNowMillis + mRandom.nextInt(6_000);
            // Forward only: a jump back by the length of a freeze hides it from both clocks, and
            // only
            // the fencing token stops such a holder.
            default -> machine.mWallSkewMillis += mRandom.nextInt(8_000);
        }
    }

    private boolean isReachable(Machine machine) {
        return machine.mFrozenUntilMillis <= mNowMillis && machine.mCutUntilMillis <= mNowMillis;
    }

    private void electLeader() {
        boolean lost = !isReachable(mLeader) || !mLeader.mLeads;
        if (!lost || mRandom.nextInt(6) > 0) {
            return;
        }
        Machine next = mMachines.get(mRandom.nextInt(MACHINES));
        if (isReachable(next)) {
            mLeader = next;
            next.mLeads = true;
        }
    }

    private long wallMillis(Machine machine) {
        return mVariant == Variant.IGNORES_WALL_CLOCK
                ? TimeUnit.NANOSECONDS.toMillis(machine.mMonoNanos)
                : mNowMillis + machine.mWallSkewMillis;
    }

    private void act(Machine machine) {
        if (machine == mLeader && machine.mLeads && isReachable(machine)) {
            machine.mLease.recordConfirmation(machine.mMonoNanos, wallMillis(machine));
            takeDuty(machine);
            commitWindow();
        }
        if (!machine.mLease.mayAct(machine.mMonoNanos, wallMillis(machine))) {
            return;
        }
        for (UsageWindow window : mState.windows()) {
            UsageWindow sent =
                    mVariant == Variant.REPLACES_COUNTS ? mLastCounts.get(window.id()) : window;
            mCalls.add(
                    new Call(
                            mNowMillis,
                            machine.mName,
                            machine.process(),
                            machine.mLease.token(),
                            sent));
        }
    }

    private void takeDuty(Machine machine) {
        DutyHolder holder = mState.holder(Duty.METERING);
        boolean holds =
                holder != null
                        && (mVariant == Variant.KEEPS_TOKEN_OF_MACHINE
                                ? holder.machine().equals(machine.mName)
                                : holder.isProcess(machine.mName, machine.process()));
        boolean followsOther = holder != null && !holds;
        if (!holds) {
            long expected = mState.token(Duty.METERING);
            mState = repeat(machine, expected);
        }
        machine.mLease.recordToken(
                machine.mMonoNanos,
                mState.token(Duty.METERING),
                followsOther && mVariant != Variant.DOES_NOT_WAIT);
    }

    /** Applies the order to take the duty twice, as for a repeated append. */
    private DutyState repeat(Machine machine, long expected) {
        var command = DutyCommand.take(Duty.METERING, machine.mName, machine.process(), expected);
        return mState.after(command).after(command);
    }

    private void commitWindow() {
        long id = mNowMillis / 5_000;
        UsageWindow window = new UsageWindow(id, Map.of("w", (long) mRandom.nextInt(100)));
        mLastCounts.put(id, window);
        mState = mState.after(DutyCommand.commitUsage(window));
        if (mRandom.nextInt(10) == 0) {
            mState = mState.after(DutyCommand.markReported(id));
        }
    }

    /** Returns whether a window was sent with two different counts. */
    static boolean hasWindowWithTwoCounts(List<Call> calls) {
        Map<Long, UsageWindow> first = new HashMap<>();
        for (Call call : calls) {
            UsageWindow known = first.putIfAbsent(call.window().id(), call.window());
            if (known != null && !known.equals(call.window())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether two processes sent the same token, or a token went back. */
    static boolean hasTokenOfTwoHolders(List<Call> calls) {
        Map<Long, String> processes = new HashMap<>();
        for (Call call : calls) {
            String known = processes.putIfAbsent(call.token(), call.process());
            if (known != null && !known.equals(call.process())) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a machine acted after another one with a higher token had acted. */
    static boolean hasOutdatedHolder(List<Call> calls) {
        long highest = 0;
        for (Call call : calls) {
            if (call.token() < highest) {
                return true;
            }
            highest = call.token();
        }
        return false;
    }

    /** Returns whether machines acted in the order A, B, A within one lease. */
    static boolean alternatesWithinLease(List<Call> calls) {
        Call previousTurn = null;
        for (int i = 1; i < calls.size(); i++) {
            Call before = calls.get(i - 1);
            Call call = calls.get(i);
            if (call.machine().equals(before.machine())) {
                continue;
            }
            if (previousTurn != null
                    && previousTurn.machine().equals(call.machine())
                    && call.atMillis() - previousTurn.atMillis() < LEASE_MILLIS) {
                return true;
            }
            previousTurn = before;
        }
        return false;
    }

    /** Returns the machines that acted. */
    static Set<String> machines(List<Call> calls) {
        Set<String> machines = new HashSet<>();
        calls.forEach(call -> machines.add(call.machine()));
        return machines;
    }
}
