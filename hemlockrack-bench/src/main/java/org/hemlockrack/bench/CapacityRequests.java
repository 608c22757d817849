package org.hemlockrack.bench;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.List;
import java.util.Queue;
import java.util.SplittableRandom;
import org.hemlockrack.admission.Admission;
import org.hemlockrack.admission.AdmissionEvent;
import org.hemlockrack.admission.AdmissionOutput;
import org.hemlockrack.admission.AdmissionSettings;
import org.hemlockrack.admission.AnnouncedState;
import org.hemlockrack.admission.LeaseEcho;
import org.hemlockrack.admission.PreviousOwner;
import org.hemlockrack.admission.RequestOutcome;
import org.hemlockrack.admission.WaitMode;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.Priority;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.placement.Candidate;
import org.hemlockrack.placement.CandidateState;
import org.hemlockrack.placement.Placement;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.placement.PlacementFilter;
import org.hemlockrack.placement.PlacementKey;
import org.hemlockrack.placement.PlacementSettings;

/** Measures memory and time per request of placement and admission. */
final class CapacityRequests {
    private static final int[] SERVER_COUNTS = {110, 220, 445, 890};
    private static final int[] CHAT_COUNTS = {1 << 14, 1 << 15, 1 << 16, 1 << 17};
    private static final int[] IN_FLIGHT_COUNTS = {512, 1_024, 2_048, 4_096};
    private static final int[] QUEUED_COUNTS = {0, 64, 128, 256};
    private static final int MODEL_COUNT = 26;
    private static final int UPDATE_COUNT = 1_000;
    private static final int DECISION_COUNT = 100_000;
    private static final ServiceId SERVICE = ServiceId.of("assistant");

    private final SplittableRandom mRandom;

    CapacityRequests(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        measureChatTable();
        measureDecisions(MODEL_COUNT, "placement_decision_us_26_models_by_workers");
        measureUpdates();
        measureDecisions(1, "placement_decision_us_one_model_by_workers");
        measureInFlight();
        measureQueued();
    }

    private void measureChatTable() {
        LinearFit.Series heap = LinearFit.series("placement_heap_bytes_by_chats");
        LinearFit.Series table = LinearFit.series("placement_table_bytes_by_chats");
        for (int chats : CHAT_COUNTS) {
            long heapBefore = CapacityBench.heapBytes();
            Placement placement =
                    Placement.create(PlacementSettings.defaults().withMaxChats(chats));
            placement.update(0, createCandidates(1, 1));
            fillChatTable(placement, chats);
            heap.add(chats, CapacityBench.heapBytes() - heapBefore);
            table.add(chats, placement.tableBytes());
            require(placement.trackedChats() > 0);
        }
        table.fitAndPrint(1 << 17);
        heap.fitAndPrint(1 << 17);
    }

    private void fillChatTable(Placement placement, int chats) {
        PlacementFilter filter = PlacementFilter.of(SERVICE, "m0");
        for (int i = 0; i < chats; i++) {
            PlacementKey key = new PlacementKey(mRandom.nextLong());
            placement.recordServed(i, key, placement.choose(i, key, filter, 3).get(0));
        }
    }

    private void measureDecisions(int models, String name) {
        LinearFit.Series points = LinearFit.series(name);
        for (int servers : SERVER_COUNTS) {
            Placement placement = Placement.create(PlacementSettings.defaults());
            placement.update(0, createCandidates(servers, models));
            timeDecisions(placement, models);
            points.add(servers, timeDecisions(placement, models));
        }
        points.fitAndPrint(890);
    }

    /** Measures the placement update that follows each change of the membership view. */
    private void measureUpdates() {
        LinearFit.Series points = LinearFit.series("placement_update_us_by_workers");
        for (int servers : SERVER_COUNTS) {
            Placement placement = Placement.create(PlacementSettings.defaults());
            List<Candidate> candidates = createCandidates(servers, MODEL_COUNT);
            timeUpdates(placement, candidates);
            points.add(servers, timeUpdates(placement, candidates));
        }
        points.fitAndPrint(890);
    }

    private static double timeUpdates(Placement placement, List<Candidate> candidates) {
        long start = System.nanoTime();
        for (int i = 0; i < UPDATE_COUNT; i++) {
            placement.update(i, candidates);
        }
        return (System.nanoTime() - start) / 1e3 / UPDATE_COUNT;
    }

    private double timeDecisions(Placement placement, int models) {
        List<PlacementFilter> filters = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            filters.add(PlacementFilter.of(SERVICE, "m" + i));
        }
        long start = System.nanoTime();
        for (int i = 0; i < DECISION_COUNT; i++) {
            PlacementKey key = new PlacementKey(mRandom.nextInt(200_000) * 0x9e3779b97f4a7c15L);
            List<PlacementChoice> choices = placement.choose(i, key, filters.get(i % models), 3);
            placement.recordServed(i, key, choices.get(0));
        }
        return (System.nanoTime() - start) / 1e3 / DECISION_COUNT;
    }

    private static List<Candidate> createCandidates(int servers, int models) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < servers; i++) {
            candidates.add(
                    new Candidate(
                            SERVICE,
                            BackendId.of("server-" + i),
                            1,
                            ModelVersion.of("m" + i % models, "1"),
                            ZoneId.of("zone"),
                            true,
                            CandidateState.READY,
                            1 + i % 3,
                            1,
                            i % 7,
                            32,
                            600_000,
                            1000));
        }
        return candidates;
    }

    /** Measures admission by the number of requests in flight at one backend server. */
    private void measureInFlight() {
        OwnedServer warmUpServer = new OwnedServer(IN_FLIGHT_COUNTS[0], 0);
        warmUpServer.addRequests(IN_FLIGHT_COUNTS[0]);
        warmUpServer.timeReplacements(4 * DECISION_COUNT);
        LinearFit.Series heap = LinearFit.series("admission_heap_bytes_by_open_requests");
        LinearFit.Series time = LinearFit.series("admission_us_per_request_by_open_requests");
        for (int inFlight : IN_FLIGHT_COUNTS) {
            long heapBefore = CapacityBench.heapBytes();
            OwnedServer server = new OwnedServer(inFlight, 0);
            server.addRequests(inFlight);
            heap.add(inFlight, CapacityBench.heapBytes() - heapBefore);
            server.timeReplacements(DECISION_COUNT);
            time.add(inFlight, server.timeReplacements(DECISION_COUNT));
            require(server.mAdmission.inFlight() == inFlight);
        }
        heap.fitAndPrint(64);
        time.fitAndPrint(64);
    }

    private void measureQueued() {
        LinearFit.Series heap = LinearFit.series("admission_heap_bytes_by_queued_requests");
        LinearFit.Series time = LinearFit.series("admission_us_per_request_by_queued_requests");
        for (int queued : QUEUED_COUNTS) {
            long heapBefore = CapacityBench.heapBytes();
            OwnedServer server = new OwnedServer(64, queued);
            server.addRequests(64 + queued);
            require(server.mAdmission.queueLength() == queued);
            heap.add(queued, CapacityBench.heapBytes() - heapBefore);
            server.timeReplacements(DECISION_COUNT);
            time.add(queued, server.timeReplacements(DECISION_COUNT));
        }
        heap.fitAndPrint(256);
        time.fitAndPrint(256);
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalStateException(
                    "the setup did not reach the intended number of chats or requests");
        }
    }

    /** Admission of one backend server that is at its concurrency limit. */
    private static final class OwnedServer {
        private static final long NANOS_PER_SECOND = 1_000_000_000L;
        private final Admission mAdmission;
        private final Queue<String> mInFlightIds = new ArrayDeque<>();
        private final int mLimit;
        private long mNowNanos;
        private long mSequence;
        private int mRequestCount;

        OwnedServer(int limit, int maxQueued) {
            mLimit = limit;
            AdmissionSettings.Ramp ramp = AdmissionSettings.defaults().ramp();
            AdmissionSettings settings =
                    AdmissionSettings.defaults()
                            .withLoadMultiple(100_000)
                            .withQueue(new AdmissionSettings.Queue(maxQueued, maxQueued))
                            .withRamp(
                                    new AdmissionSettings.Ramp(
                                            limit,
                                            ramp.growthPeriodNanos(),
                                            ramp.fallPeriodNanos(),
                                            ramp.firstTokenTargetNanos(),
                                            ramp.jumpFactor(),
                                            ramp.jumpMinimumNanos()));
            mAdmission =
                    Admission.create(
                            settings,
                            InstanceId.of("i"),
                            BackendId.of("b"),
                            1,
                            -10 * NANOS_PER_SECOND);
            announce();
            announce();
        }

        private void announce() {
            mAdmission.onEvent(
                    mNowNanos,
                    new AdmissionEvent.Announced(
                            1,
                            mLimit,
                            mInFlightIds.size(),
                            AnnouncedState.READY,
                            ++mSequence,
                            PreviousOwner.none(3_600 * NANOS_PER_SECOND),
                            new LeaseEcho(1, mNowNanos, 0)),
                    this::handleOutput);
            mNowNanos++;
        }

        void addRequests(int count) {
            for (int i = 0; i < count; i++) {
                addRequest();
            }
        }

        private void addRequest() {
            String id = "router-100-r" + mRequestCount++;
            mAdmission.onEvent(
                    mNowNanos,
                    new AdmissionEvent.Arrived(
                            id,
                            WorkspaceId.of("w" + mRequestCount % 1300),
                            Priority.values()[mRequestCount % Priority.values().length],
                            RequestKind.CHAT,
                            mNowNanos + 3_600 * NANOS_PER_SECOND,
                            WaitMode.MAY_QUEUE,
                            1_000),
                    this::handleOutput);
        }

        /**
         * Repeatedly finishes the oldest request and adds another.
         *
         * @param times number of repetitions
         * @return mean microseconds per repetition
         */
        double timeReplacements(int times) {
            long start = System.nanoTime();
            for (int i = 0; i < times; i++) {
                mNowNanos += 1_000;
                if (i % 1_000 == 0) {
                    announce();
                }
                String id = mInFlightIds.remove();
                mAdmission.onEvent(
                        mNowNanos,
                        new AdmissionEvent.FirstToken(id, 60_000_000),
                        this::handleOutput);
                mAdmission.onEvent(
                        mNowNanos,
                        new AdmissionEvent.Finished(id, RequestOutcome.OK, 60_000_000),
                        this::handleOutput);
                addRequest();
            }
            return (System.nanoTime() - start) / 1e3 / times;
        }

        private void handleOutput(AdmissionOutput output) {
            if (output instanceof AdmissionOutput.Dispatch dispatch) {
                mInFlightIds.add(dispatch.requestId());
            }
        }
    }
}
