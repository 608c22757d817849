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

/** Placement and admission: memory and time per request. */
final class CapacityRequests {
    private static final int[] WORKERS = {110, 220, 445, 890};
    private static final int[] CHATS = {1 << 14, 1 << 15, 1 << 16, 1 << 17};
    private static final int[] OPEN = {512, 1_024, 2_048, 4_096};
    private static final int[] QUEUED = {0, 64, 128, 256};
    private static final int MODELS = 26;
    private static final int UPDATES = 1_000;
    private static final int DECISIONS = 100_000;
    private static final ServiceId SERVICE = ServiceId.of("assistant");

    private final SplittableRandom mRandom;

    CapacityRequests(long seed) {
        mRandom = new SplittableRandom(seed);
    }

    void run() {
        chats();
        decisions(MODELS, "placement_decision_us_26_models_by_workers");
        updates();
        decisions(1, "placement_decision_us_one_model_by_workers");
        open();
        queued();
    }

    private void chats() {
        LinearFit.Series heap = LinearFit.points("placement_heap_bytes_by_chats");
        LinearFit.Series table = LinearFit.points("placement_table_bytes_by_chats");
        for (int chats : CHATS) {
            long before = CapacityBench.heapBytes();
            Placement placement =
                    Placement.create(PlacementSettings.defaults().withMaxChats(chats));
            placement.update(0, candidates(1, 1));
            fill(placement, chats);
            heap.add(chats, CapacityBench.heapBytes() - before);
            table.add(chats, placement.tableBytes());
            require(placement.trackedChats() > 0);
        }
        table.print(1 << 17);
        heap.print(1 << 17);
    }

    private void fill(Placement placement, int chats) {
        PlacementFilter filter = PlacementFilter.of(SERVICE, "m0");
        for (int i = 0; i < chats; i++) {
            PlacementKey key = new PlacementKey(mRandom.nextLong());
            placement.recordServed(i, key, placement.choose(i, key, filter, 3).get(0));
        }
    }

    private void decisions(int models, String name) {
        LinearFit.Series points = LinearFit.points(name);
        for (int workers : WORKERS) {
            Placement placement = Placement.create(PlacementSettings.defaults());
            placement.update(0, candidates(workers, models));
            decide(placement, models);
            points.add(workers, decide(placement, models));
        }
        points.print(890);
    }

    /** Times the update that each change of the membership view causes. */
    private void updates() {
        LinearFit.Series points = LinearFit.points("placement_update_us_by_workers");
        for (int workers : WORKERS) {
            Placement placement = Placement.create(PlacementSettings.defaults());
            List<Candidate> candidates = candidates(workers, MODELS);
            update(placement, candidates);
            points.add(workers, update(placement, candidates));
        }
        points.print(890);
    }

    private static double update(Placement placement, List<Candidate> candidates) {
        long start = System.nanoTime();
        for (int i = 0; i < UPDATES; i++) {
            placement.update(i, candidates);
        }
        return (System.nanoTime() - start) / 1e3 / UPDATES;
    }

    private double decide(Placement placement, int models) {
        List<PlacementFilter> filters = new ArrayList<>();
        for (int i = 0; i < models; i++) {
            filters.add(PlacementFilter.of(SERVICE, "m" + i));
        }
        long start = System.nanoTime();
        for (int i = 0; i < DECISIONS; i++) {
            PlacementKey key = new PlacementKey(mRandom.nextInt(200_000) * 0x9e3779b97f4a7c15L);
            List<PlacementChoice> choices = placement.choose(i, key, filters.get(i % models), 3);
            placement.recordServed(i, key, choices.get(0));
        }
        return (System.nanoTime() - start) / 1e3 / DECISIONS;
    }

    private static List<Candidate> candidates(int workers, int models) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < workers; i++) {
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

    /** Heap and time of admission against requests in flight at one backend server. */
    private void open() {
        OwnedServer warm = new OwnedServer(OPEN[0], 0);
        warm.fill(OPEN[0]);
        warm.replace(4 * DECISIONS);
        LinearFit.Series heap = LinearFit.points("admission_heap_bytes_by_open_requests");
        LinearFit.Series time = LinearFit.points("admission_us_per_request_by_open_requests");
        for (int open : OPEN) {
            long before = CapacityBench.heapBytes();
            OwnedServer owner = new OwnedServer(open, 0);
            owner.fill(open);
            heap.add(open, CapacityBench.heapBytes() - before);
            owner.replace(DECISIONS);
            time.add(open, owner.replace(DECISIONS));
            require(owner.mAdmission.inFlight() == open);
        }
        heap.print(64);
        time.print(64);
    }

    private void queued() {
        LinearFit.Series heap = LinearFit.points("admission_heap_bytes_by_queued_requests");
        LinearFit.Series time = LinearFit.points("admission_us_per_request_by_queued_requests");
        for (int queued : QUEUED) {
            long before = CapacityBench.heapBytes();
            OwnedServer owner = new OwnedServer(64, queued);
            owner.fill(64 + queued);
            require(owner.mAdmission.queueLength() == queued);
            heap.add(queued, CapacityBench.heapBytes() - before);
            owner.replace(DECISIONS);
            time.add(queued, owner.replace(DECISIONS));
        }
        heap.print(256);
        time.print(256);
    }

    private static void require(boolean condition) {
        if (!condition) {
            throw new IllegalStateException("the measured state is not as planned");
        }
    }

    /** One owned backend server at its limit. */
    private static final class OwnedServer {
        private static final long SECOND = 1_000_000_000L;
        private final Admission mAdmission;
        private final Queue<String> mOpen = new ArrayDeque<>();
        private final int mLimit;
        private long mNowNanos;
        private long mSequence;
        private int mNames;

        OwnedServer(int limit, int queue) {
            mLimit = limit;
            AdmissionSettings.Ramp ramp = AdmissionSettings.defaults().ramp();
            AdmissionSettings settings =
                    AdmissionSettings.defaults()
                            .withLoadMultiple(100_000)
                            .withQueue(new AdmissionSettings.Queue(queue, queue))
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
                            settings, InstanceId.of("i"), BackendId.of("b"), 1, -10 * SECOND);
            announce();
            announce();
        }

        private void announce() {
            mAdmission.onEvent(
                    mNowNanos,
                    new AdmissionEvent.Announced(
                            1,
                            mLimit,
                            mOpen.size(),
                            AnnouncedState.READY,
                            ++mSequence,
                            PreviousOwner.none(3_600 * SECOND),
                            new LeaseEcho(1, mNowNanos, 0)),
                    this::handle);
            mNowNanos++;
        }

        void fill(int count) {
            for (int i = 0; i < count; i++) {
                arrive();
            }
        }

        private void arrive() {
            String id = "router-100-r" + mNames++;
            mAdmission.onEvent(
                    mNowNanos,
                    new AdmissionEvent.Arrived(
                            id,
                            WorkspaceId.of("w" + mNames % 1300),
                            Priority.values()[mNames % Priority.values().length],
                            RequestKind.CHAT,
                            mNowNanos + 3_600 * SECOND,
                            WaitMode.MAY_QUEUE,
                            1_000),
                    this::handle);
        }

        /** Ends the oldest request and lets another arrive, again and again. */
        double replace(int times) {
            long start = System.nanoTime();
            for (int i = 0; i < times; i++) {
                mNowNanos += 1_000;
                if (i % 1_000 == 0) {
                    announce();
                }
                String id = mOpen.remove();
                mAdmission.onEvent(
                        mNowNanos, new AdmissionEvent.FirstToken(id, 60_000_000), this::handle);
                mAdmission.onEvent(
                        mNowNanos,
                        new AdmissionEvent.Finished(id, RequestOutcome.OK, 60_000_000),
                        this::handle);
                arrive();
            }
            return (System.nanoTime() - start) / 1e3 / times;
        }

        private void handle(AdmissionOutput output) {
            if (output instanceof AdmissionOutput.Dispatch dispatch) {
                mOpen.add(dispatch.requestId());
            }
        }
    }
}
