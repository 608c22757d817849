package org.hemlockrack.consensus;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import org.hemlockrack.control.TableSends;

/**
 * Gateways that poll all instances of a {@link ClusterSimulation} and fetch each new table from the
 * first one that has it. Their replies are queued on the links of the instances.
 */
final class TableFetchers {
    /** Pause between two exchanges of a gateway with an instance. */
    private static final int PERIOD_MILLIS = 800;

    /** Size of a reply without a table. */
    private static final int REPLY_BYTES = 1_500;

    /** Another instance is asked for a table that has not arrived within this time. */
    private static final int FETCH_TIMEOUT_MILLIS = 1_000;

    private final ClusterSimulation mSimulation;
    private final int mTableBytes;
    private final SendRule mRule;

    /** Whether only voters send tables, as controllers without a vote publish no state. */
    boolean mOnlyVotersSend;

    private final List<TableSends> mSends = new ArrayList<>();
    private final Map<Long, Integer> mTableByCommand = new HashMap<>();
    private final List<Gateway> mGateways = new ArrayList<>();

    /** Which replies with tables an instance sends. */
    enum SendRule {
        /** Every request for a table is answered with it. */
        UNBOUNDED,
        /** The leader has the same bound as others. */
        BOUNDED_ALIKE,
        /** The leader has a lower bound. */
        BOUNDED
    }

    private final class Gateway {
        private final String mId = "g" + mGateways.size();
        private final long[] mNextPollNanos = new long[mSimulation.mInstances.size()];

        /** When a reply that holds a table arrives from each instance, 0 for none. */
        private final long[] mTableArrivalNanos = new long[mNextPollNanos.length];

        private final int[] mTables = new int[mNextPollNanos.length];

        private int mTable;
        private int mWanted;
        private long mFetchNanos = Long.MIN_VALUE / 2;

        Gateway() {
            for (int i = 0; i < mNextPollNanos.length; i++) {
                mNextPollNanos[i] =
                        mSimulation.mNowNanos
                                + mSimulation.millisToNanos(
                                        mSimulation.mRandom.nextInt(PERIOD_MILLIS));
            }
        }

        void step() {
            for (int i = 0; i < mNextPollNanos.length; i++) {
                if (mTableArrivalNanos[i] > 0 && mTableArrivalNanos[i] <= mSimulation.mNowNanos) {
                    mTable = Math.max(mTable, mTables[i]);
                    mTableArrivalNanos[i] = 0;
                }
                if (mNextPollNanos[i] <= mSimulation.mNowNanos) {
                    poll(i);
                }
            }
        }

        private void poll(int index) {
            SimulatedInstance instance = mSimulation.mInstances.get(index);
            long pauseNanos = mSimulation.millisToNanos(PERIOD_MILLIS);
            if (!instance.isRunning()) {
                mNextPollNanos[index] = mSimulation.mNowNanos + pauseNanos;
                return;
            }
            long arrivalNanos = mSimulation.occupyLink(index, REPLY_BYTES);
            if (mTableArrivalNanos[index] == 0) {
                mSends.get(index).confirm(mId);
            }
            int table = newestTable(instance);
            boolean isLate =
                    mSimulation.mNowNanos - mFetchNanos
                            >= mSimulation.millisToNanos(FETCH_TIMEOUT_MILLIS);
            if (table > mTable && (table > mWanted || isLate)) {
                if (!maySend(index)) {
                    mNextPollNanos[index] = arrivalNanos + pauseNanos;
                    return;
                }
                mWanted = table;
                mFetchNanos = mSimulation.mNowNanos;
                arrivalNanos = mSimulation.occupyLink(index, mTableBytes);
                mTables[index] = table;
                mTableArrivalNanos[index] = arrivalNanos;
                // A gateway confirms a table at once.
                mNextPollNanos[index] = arrivalNanos;
                return;
            }
            mNextPollNanos[index] = arrivalNanos + pauseNanos;
        }

        private boolean hasLeaderBound(int index) {
            SimulatedInstance instance = mSimulation.mInstances.get(index);
            return mRule == SendRule.BOUNDED
                    && instance.isRunning()
                    && instance.consensus().role() == Role.LEADER;
        }

        private boolean maySend(int index) {
            return mRule == SendRule.UNBOUNDED
                    || mSends.get(index)
                            .tryStart(
                                    mSimulation.mNowNanos, mId, mTableBytes, hasLeaderBound(index));
        }
    }

    TableFetchers(ClusterSimulation simulation, int gateways, int tableBytes, SendRule rule) {
        mSimulation = simulation;
        mTableBytes = tableBytes;
        mRule = rule;
        simulation.mInstances.forEach(each -> mSends.add(TableSends.create()));
        for (int i = 0; i < gateways; i++) {
            mGateways.add(new Gateway());
        }
    }

    /** Records the table that a command publishes; commands of one table may repeat it. */
    void recordCommand(long command, int table) {
        mTableByCommand.put(command, table);
    }

    private int newestTable(SimulatedInstance instance) {
        int newest = 0;
        if (mOnlyVotersSend && !instance.consensus().membership().isVoter(instance.replicaId())) {
            return 0;
        }
        for (long command : instance.mState.mCommands) {
            newest = Math.max(newest, mTableByCommand.get(command));
        }
        return newest;
    }

    /** Restarts all gateways without tables. */
    void losePower() {
        int gateways = mGateways.size();
        mGateways.clear();
        for (int i = 0; i < gateways; i++) {
            mGateways.add(new Gateway());
        }
    }

    void step() {
        mGateways.forEach(Gateway::step);
    }

    /** Returns how many gateways have less than a number of tables. */
    long behind(int tables) {
        return mGateways.stream().filter(gateway -> gateway.mTable < tables).count();
    }
}
