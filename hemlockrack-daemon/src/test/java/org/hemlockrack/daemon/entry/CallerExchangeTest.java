package org.hemlockrack.daemon.entry;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.burn.LatencySample;
import org.hemlockrack.burn.MissContext;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.daemon.metrics.Metrics;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.RunState;
import org.hemlockrack.membership.ControlBudget;
import org.hemlockrack.membership.InstanceInfo;
import org.hemlockrack.membership.Membership;
import org.hemlockrack.membership.MembershipSettings;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.placement.PlacementKey;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Test;

class CallerExchangeTest {
    private static final int REQUESTS = 200;
    private static final long HOUR_NANOS = TimeUnit.HOURS.toNanos(1);

    private final EventLoop mLoop = EventLoop.open("test", Throwable::printStackTrace);
    private final InstanceInfo mSelf =
            new InstanceInfo(
                    InstanceId.of("i1"), ZoneId.of("a"), "r1", "127.0.0.1:1", "127.0.0.1:2");
    private final PeerNetwork mNetwork =
            PeerNetwork.create(mSelf.id(), Map.of(), null, (address, cause) -> {});

    @AfterEach
    void close() {
        mLoop.close();
        mNetwork.close();
    }

    /** Counts ended answers down; all of them must have status 503. */
    private static final class CountDownResponder implements Responder {
        private final CountDownLatch mEnded;

        CountDownResponder(CountDownLatch ended) {
            mEnded = ended;
        }

        @Override
        public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
            assertEquals(503, status);
        }

        @Override
        public int write(ByteBuffer data) {
            return 0;
        }

        @Override
        public int queuedBytes() {
            return 0;
        }

        @Override
        public void end() {
            mEnded.countDown();
        }

        @Override
        public void abort() {}

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onDrain(DrainListener action) {}
    }

    /** Ignores all outcomes. */
    private static final class NoObserver implements RequestObserver {
        @Override
        public void onFirstByte(
                CallerRequest request, PlacementChoice choice, long firstByteNanos) {}

        @Override
        public void onBackendFailed(CallerRequest request, PlacementChoice choice) {}

        @Override
        public void onFinished(
                CallerRequest request, LatencySample sample, MissContext missContext) {}
    }

    private EntryService createService(ClaimGate claims) {
        long nowNanos = mLoop.nowNanos();
        Membership membership =
                Membership.create(
                        new MembershipSettings(mSelf, 1, List.of()),
                        ControlBudget.of(ControlBudget.DEFAULT_BYTES_PER_SECOND, nowNanos),
                        new SplittableRandom(1),
                        nowNanos);
        FleetMembership fleet = FleetMembership.create(mLoop, mSelf, membership, mNetwork);
        return EntryService.create(
                mLoop,
                fleet,
                null,
                null,
                null,
                claims,
                null,
                new NoObserver(),
                EventLog.create(),
                Metrics.create(),
                "test-");
    }

    private CallerRequest createRequest(int number, RequestKind kind) {
        WorkspaceId workspace = WorkspaceId.of("demo");
        long deadlineNanos = mLoop.nowNanos() + HOUR_NANOS;
        return new CallerRequest(
                "request-" + number,
                new HttpCall("POST", "/v1/chat/completions", null, List.of(), new byte[0]),
                workspace,
                null,
                ServiceId.of("assistant"),
                "assistant",
                kind,
                PlacementKey.ofChat(workspace, "chat"),
                true,
                kind == RequestKind.CHAT ? null : "key",
                deadlineNanos,
                deadlineNanos);
    }

    /**
     * Guards against a deadline timer that keeps a finished request in memory. At 500 requests a
     * second with deadlines of 60 s, such timers exhausted a heap of 256 MB.
     */
    @Test
    void finishedRequestCancelsItsDeadlineTimer() throws InterruptedException {
        CountDownLatch ended = new CountDownLatch(REQUESTS);
        mLoop.submit(
                        () -> {
                            EntryService service = createService(null);
                            for (int i = 0; i < REQUESTS; i++) {
                                new CallerExchange(
                                                service,
                                                mLoop,
                                                createRequest(i, RequestKind.CHAT),
                                                new CountDownResponder(ended))
                                        .start();
                            }
                            return true;
                        })
                .join();
        assertTrue(ended.await(60, TimeUnit.SECONDS), "not all requests were answered");
        int scheduledTasks = mLoop.submit(mLoop::queuedTaskCount).join();
        assertTrue(scheduledTasks < REQUESTS / 4, scheduledTasks + " tasks are still scheduled");
    }

    /** Keeps the callback of a claim that is not decided yet. */
    private static final class OpenClaim implements ClaimGate {
        private Callback mCallback;

        @Override
        public void claim(CallerRequest request, Callback callback) {
            mCallback = callback;
        }
    }

    /** Counts the bytes and the ends of one answer. */
    private static final class CountingResponder implements Responder {
        private int mStatus;
        private int mWrites;
        private int mEnds;

        @Override
        public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
            mStatus = mStatus == 0 ? status : mStatus;
        }

        @Override
        public int write(ByteBuffer data) {
            mWrites++;
            return 0;
        }

        @Override
        public int queuedBytes() {
            return 0;
        }

        @Override
        public void end() {
            mEnds++;
        }

        @Override
        public void abort() {}

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onDrain(DrainListener action) {}
    }

    /**
     * Guards against a second answer after the error of a stopping instance, once the claim of the
     * command is decided.
     */
    @Test
    void decidedClaimAddsNothingToTheErrorOfAStop() {
        OpenClaim claim = new OpenClaim();
        CountingResponder responder = new CountingResponder();
        CallerExchange exchange =
                mLoop.submit(
                                () -> {
                                    CallerRequest request =
                                            createRequest(0, RequestKind.SERVICE_COMMAND);
                                    CallerExchange started =
                                            new CallerExchange(
                                                    createService(claim),
                                                    mLoop,
                                                    request,
                                                    responder);
                                    started.start();
                                    return started;
                                })
                        .join();
        runOnLoop(exchange::onInstanceStops);
        // The error is sent by a task of its own.
        runOnLoop(() -> assertEquals(503, responder.mStatus));
        runOnLoop(() -> claim.mCallback.onReplay(200, List.of(), new byte[] {1}));
        runOnLoop(() -> claim.mCallback.onRefused(ErrorKind.NO_QUORUM, RunState.NOT_RUN, "late"));
        assertEquals(1, responder.mWrites);
        assertEquals(1, responder.mEnds);
    }

    private void runOnLoop(Runnable task) {
        mLoop.submit(
                        () -> {
                            task.run();
                            return true;
                        })
                .join();
    }
}
