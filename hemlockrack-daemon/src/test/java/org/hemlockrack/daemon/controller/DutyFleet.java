package org.hemlockrack.daemon.controller;

import java.io.ByteArrayOutputStream;
import java.util.ArrayList;
import java.util.Collections;
import java.util.EnumSet;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.duties.Duty;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.duties.UsageWindow;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.AutoscaleSpec;
import org.hemlockrack.wire.DutyCommandData;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;

/** Controllers with the duties of a fleet, one log, one gateway and a platform, on test time. */
final class DutyFleet {
    static final long LEASE_MILLIS = 3_000;
    static final long START_MILLIS = 1_000_000;
    static final int SLOTS = 64;

    /** The platform runs that many servers whatever is ordered. */
    private static final int SERVERS = 24;

    private static final Registration SERVER =
            new Registration(
                    BackendId.of("i-1"),
                    1,
                    1,
                    ServiceId.of("s"),
                    "127.0.0.1:1",
                    ZoneId.of("a"),
                    "v1",
                    SLOTS,
                    false,
                    0);

    private static final long STEP_MILLIS = 100;
    private static final long INTERVAL_MILLIS = 5_000;
    private static final long DELAY_MILLIS = 10_000;

    /** A controller. */
    final class Node implements DutyReplica, DutyClock {
        private final String mName;
        private int mStarts;
        private long mMonoMillis = 5_000;
        private long mFrozenUntilMillis;
        private boolean mBelievesLeader;
        private DutyService mService;

        private Node(String name) {
            mName = name;
            restart();
        }

        /** Starts a new process without any state of the previous one. */
        void restart() {
            mBelievesLeader = false;
            mService =
                    DutyService.create(
                            mSettings,
                            mName,
                            mName + "/" + ++mStarts,
                            this,
                            mView,
                            mPlatform,
                            mPlatform.transport(),
                            this,
                            Metrics.create(),
                            DecisionLog.open(mName, new ByteArrayOutputStream()));
            mService.publish(mState);
        }

        /** Suspends the machine; its monotonic clock stands still. */
        void freeze(long millis) {
            mFrozenUntilMillis = mNowMillis + millis;
        }

        DutyService service() {
            return mService;
        }

        private boolean isFrozen() {
            return mFrozenUntilMillis > mNowMillis;
        }

        @Override
        public boolean isLeader() {
            return mBelievesLeader;
        }

        @Override
        public void propose(DutyCommandData command) {
            if (mLeader == this) {
                mState = mState.after(command);
            }
        }

        @Override
        public long nanos() {
            return TimeUnit.MILLISECONDS.toNanos(mMonoMillis);
        }

        @Override
        public long wallMillis() {
            return mNowMillis;
        }
    }

    private final DutySettings mSettings =
            new DutySettings(
                    "",
                    EnumSet.allOf(Duty.class),
                    50,
                    LEASE_MILLIS,
                    true,
                    INTERVAL_MILLIS,
                    DELAY_MILLIS);
    private final FakePlatform mPlatform = new FakePlatform();

    private final AutoscaleView mView =
            new AutoscaleView() {
                @Override
                public List<Registration> servers() {
                    return Collections.nCopies(SERVERS, SERVER);
                }

                @Override
                public Map<ServiceId, AutoscaleSpec> specs() {
                    return Map.of(SERVER.service(), new AutoscaleSpec(10, 60, 8_000, 3_000));
                }
            };

    private int mRunning = 16 * SLOTS;
    private final List<Node> mNodes = new ArrayList<>();
    private final Map<Long, Long> mTruth = new TreeMap<>();
    private DutyState mState = DutyState.EMPTY;
    private Node mLeader;
    private long mNowMillis = START_MILLIS;

    DutyFleet() {
        for (String name : List.of("a", "b", "c")) {
            mNodes.add(new Node(name));
        }
        mLeader = mNodes.get(0);
        mLeader.mBelievesLeader = true;
    }

    FakePlatform platform() {
        return mPlatform;
    }

    DutyState state() {
        return mState;
    }

    Node node(int index) {
        return mNodes.get(index);
    }

    long nowMillis() {
        return mNowMillis;
    }

    /** Returns the requests that began to run, by window. */
    Map<Long, Long> truth() {
        return mTruth;
    }

    /** Sets the requests in progress at all servers together. */
    void setRunning(int requests) {
        mRunning = requests;
    }

    /** Elects a leader. The previous one goes on to believe that it leads if it is frozen. */
    void elect(int index) {
        for (Node node : mNodes) {
            node.mBelievesLeader &= node.isFrozen();
        }
        mLeader = mNodes.get(index);
        mLeader.mBelievesLeader = true;
    }

    void run(long millis) {
        long endMillis = mNowMillis + millis;
        while (mNowMillis < endMillis) {
            step();
        }
    }

    private void step() {
        mNowMillis += STEP_MILLIS;
        mPlatform.setNowMillis(mNowMillis);
        mTruth.merge(mNowMillis / INTERVAL_MILLIS, 1L, Long::sum);
        for (Node node : mNodes) {
            if (node.isFrozen()) {
                continue;
            }
            node.mMonoMillis += STEP_MILLIS;
            if (mLeader == node) {
                node.mService.recordConfirmation(node.nanos(), node.wallMillis());
                node.mService.publish(mState);
            }
            report(node);
            node.mService.run();
        }
    }

    private void report(Node node) {
        SyncRequest request = new SyncRequest();
        request.setSender("g/1");
        request.setGateway(true);
        request.setZone("a");
        request.setRefused(Map.of());
        // All servers of the view have the same id.
        request.setInFlight(List.of(new LoadData("i-1", mRunning / SERVERS)));
        SyncReply reply = new SyncReply();
        node.mService.exchange(request, reply);
        if (reply.isSetUsageToken()) {
            List<UsageWindow> windows = new ArrayList<>();
            mTruth.forEach((id, count) -> windows.add(new UsageWindow(id, Map.of("w", count))));
            List<UsageWindow> kept =
                    windows.subList(Math.max(0, windows.size() - 8), windows.size());
            request.setUsage(kept.stream().map(UsageWindow::toData).toList());
            request.setUsageThroughMillis(mNowMillis - STEP_MILLIS);
            node.mService.exchange(request, reply);
        }
    }
}
