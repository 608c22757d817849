package org.hemlockrack.capacity;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.SplittableRandom;
import java.util.concurrent.TimeUnit;

/**
 * A simulated service. A server with {@code n} requests gives each the share {@code min(1, knee /
 * n)} of its speed. Callers want the first piece within a time; answers on time are counted. The
 * gateway chooses the better of two servers, by load for limit and speed.
 */
final class ServerHistory {
    static final long TICK = TimeUnit.MILLISECONDS.toNanos(10);
    static final long MILLI = TimeUnit.MILLISECONDS.toNanos(1);
    private static final long FIRST_PIECE_NANOS = 100 * MILLI;
    private static final long OBJECTIVE_NANOS = 180 * MILLI;
    private static final long WHOLE_NANOS = 1_000 * MILLI;

    private final Shape mShape;
    private final SplittableRandom mRandom;
    private final List<Machine> mMachines = new ArrayList<>();
    private long mNowNanos;
    private int mOnTime;
    private int mAnswers;
    private double mDelayMillis;

    /** Speed and knee of each server over time. */
    interface Shape {
        /** Returns the speed of a server, 1 is usual. */
        double speed(int server, long nowNanos);

        /** Returns the requests from which on a server of these slots slows down. */
        default int knee(int server, int slots, long nowNanos) {
            return slots;
        }
    }

    private static final class Machine {
        private final int mNumber;
        private final ServerCapacity mCapacity;
        private final List<double[]> mRequests = new ArrayList<>();

        Machine(int number, ServerCapacity capacity) {
            mNumber = number;
            mCapacity = capacity;
        }
    }

    /** Knows the shape. */
    static final class OracleCapacity implements ServerCapacity {
        private final ServerHistory mHistory;
        private final int mNumber;
        private final int mSlots;

        OracleCapacity(ServerHistory history, int number, int slots) {
            mHistory = history;
            mNumber = number;
            mSlots = slots;
        }

        @Override
        public double limit(long nowNanos) {
            return mHistory.mShape.knee(mNumber, mSlots, nowNanos);
        }

        @Override
        public double speed(long nowNanos) {
            return mHistory.mShape.speed(mNumber, nowNanos);
        }

        @Override
        public void recordReport(long nowNanos, ReportedLoad load) {}

        @Override
        public void recordDelay(long nowNanos, double ratio, int load) {}

        @Override
        public void recordRejection(long nowNanos, int load) {}
    }

    /** Creates the capacity of a server. */
    interface Capacities {
        ServerCapacity create(ServerHistory history, int number, int slots);
    }

    private ServerHistory(Shape shape, Capacities capacities, int servers, int slots, long seed) {
        mShape = shape;
        mRandom = new SplittableRandom(seed);
        for (int i = 0; i < servers; i++) {
            mMachines.add(new Machine(i, capacities.create(this, i, slots)));
        }
    }

    /** Answers on time, and the mean time to the first piece, from the fourth second on. */
    record Result(int onTime, double meanMillis) {}

    static Result run(
            Shape shape, Capacities capacities, boolean reports, double perTick, long seed) {
        ServerHistory history = new ServerHistory(shape, capacities, 8, 24, seed);
        ServiceDelays delays = ServiceDelays.create();
        for (int tick = 0; tick < 2_000; tick++) {
            history.mNowNanos += TICK;
            history.arrive(perTick);
            history.run(delays, reports);
            if (tick == 300) {
                history.mOnTime = 0;
                history.mAnswers = 0;
                history.mDelayMillis = 0;
            }
        }
        return new Result(history.mOnTime, history.mDelayMillis / history.mAnswers);
    }

    private void arrive(double perTick) {
        double left = perTick;
        while (left > 0) {
            if (mRandom.nextDouble() < left) {
                send();
            }
            left--;
        }
    }

    private void send() {
        List<Machine> open = new ArrayList<>();
        for (Machine machine : mMachines) {
            if (machine.mRequests.size() + 1 <= machine.mCapacity.limit(mNowNanos) + 0.5) {
                open.add(machine);
            }
        }
        if (open.isEmpty()) {
            return;
        }
        Machine a = open.get(mRandom.nextInt(open.size()));
        Machine b = open.get(mRandom.nextInt(open.size()));
        Machine chosen = cost(a) <= cost(b) ? a : b;
        chosen.mRequests.add(new double[] {mNowNanos, 0, chosen.mRequests.size() + 1});
    }

    private double cost(Machine machine) {
        ServerCapacity capacity = machine.mCapacity;
        return (machine.mRequests.size() + 1)
                / (capacity.limit(mNowNanos) * capacity.speed(mNowNanos));
    }

    private void run(ServiceDelays delays, boolean reports) {
        for (Machine machine : mMachines) {
            double speed = mShape.speed(machine.mNumber, mNowNanos);
            int knee = mShape.knee(machine.mNumber, 24, mNowNanos);
            double share = Math.min(1, knee / (double) Math.max(1, machine.mRequests.size()));
            Iterator<double[]> requests = machine.mRequests.iterator();
            while (requests.hasNext()) {
                double[] request = requests.next();
                boolean begun = request[1] >= FIRST_PIECE_NANOS;
                request[1] += TICK * speed * share;
                if (!begun && request[1] >= FIRST_PIECE_NANOS) {
                    long delayNanos = mNowNanos - (long) request[0] + TICK;
                    mAnswers++;
                    mDelayMillis += delayNanos / (double) MILLI;
                    mOnTime += delayNanos <= OBJECTIVE_NANOS ? 1 : 0;
                    machine.mCapacity.recordDelay(
                            mNowNanos, delays.record(mNowNanos, "r", delayNanos), (int) request[2]);
                    if (reports) {
                        machine.mCapacity.recordReport(
                                mNowNanos, new ReportedLoad(-1, -1, 24, (int) (100 / speed)));
                    }
                }
                if (request[1] >= WHOLE_NANOS) {
                    requests.remove();
                }
            }
        }
    }
}
