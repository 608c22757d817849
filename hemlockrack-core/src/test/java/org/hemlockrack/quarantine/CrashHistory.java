package org.hemlockrack.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.TreeSet;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;

/**
 * A simulated fleet whose servers crash: because of a part of a prompt, one by one, or many at the
 * same moment. Gateways report late; gateways restart, and one controller at a time does.
 */
final class CrashHistory {
    static final int STEP_MILLIS = 10;
    private static final int CONTROLLERS = 2;

    /** A controller that restarts is told everything again before the next one restarts. */
    private static final int RESTART_PAUSE_MILLIS = 10_000;

    /** Longer than an analysis waits for evidence from before its start. */
    private static final int BAD_FROM_MILLIS = 10_000;

    private static final int DOWN_MILLIS = 3_000;
    private static final int STREAM_MILLIS = 1_500;
    private static final int MAX_ATTEMPTS = 2;

    /** Longest time until a gateway has reported what it saw; it does so without a pause. */
    private static final int REPORT_MILLIS = 200;

    /** What happens in a history. */
    record Plan(
            int gateways,
            int servers,
            int requestsPerSecond,
            int exchangeMillis,
            List<String> badParts,
            double badShare,
            boolean ratherOtherCrashes,
            boolean restarts) {}

    private static final class Server {
        int mIncarnation;
        int mDownUntilMillis;
        final Set<Request> mOpen = new LinkedHashSet<>();
    }

    private static final class Request {
        final int mGateway;
        final List<String> mParts;
        final int mAttempt;
        final long mHash;
        int mServer;
        int mBeginMillis;
        boolean mBegun;

        Request(int gateway, List<String> parts, int attempt, long hash) {
            mGateway = gateway;
            mParts = parts;
            mAttempt = attempt;
            mHash = hash;
        }
    }

    private record Report(int atMillis, Cut cut, String answeredPart) {}

    private record Delayed(int arrivalMillis, int controller, Report report) {}

    private final Plan mPlan;
    private final SplittableRandom mRandom;
    private final CrashAnalysis.Rule mLeftOut;
    private final List<Server> mServers = new ArrayList<>();
    private final Deque<Delayed> mReports = new ArrayDeque<>();
    private final List<Report> mKeptReports = new ArrayList<>();
    private final Map<String, Integer> mAnsweredMillis = new HashMap<>();
    private final Map<String, Integer> mReportedMillis = new HashMap<>();
    private final Map<String, List<Integer>> mCrashMillis = new HashMap<>();
    private final Map<String, List<Integer>> mArrivalMillis = new HashMap<>();
    private final Set<String> mHeldParts = new HashSet<>();
    private final List<Request> mRetries = new ArrayList<>();
    private final List<CrashAnalysis> mControllers = new ArrayList<>();
    private int mRestartedMillis;
    private Set<String> mWatched = Set.of();
    private int mNowMillis;
    private long mNextId = 1;

    private CrashHistory(Plan plan, long seed, CrashAnalysis.Rule leftOut) {
        mPlan = plan;
        mRandom = new SplittableRandom(seed);
        mLeftOut = leftOut;
        for (int i = 0; i < CONTROLLERS; i++) {
            mControllers.add(newAnalysis());
        }
        for (int i = 0; i < plan.servers(); i++) {
            mServers.add(new Server());
        }
    }

    /**
     * Plays a history.
     *
     * @param plan what happens
     * @param seed seed
     * @param leftOut rule of the analysis that is left out, or null
     * @param seconds length
     * @return the history
     */
    static CrashHistory play(Plan plan, long seed, CrashAnalysis.Rule leftOut, int seconds) {
        CrashHistory history = new CrashHistory(plan, seed, leftOut);
        while (history.mNowMillis < seconds * 1_000) {
            history.step();
        }
        return history;
    }

    private CrashAnalysis newAnalysis() {
        CrashAnalysis analysis =
                mLeftOut == null
                        ? CrashAnalysis.create(nowNanos())
                        : CrashAnalysis.without(nowNanos(), mLeftOut);
        analysis.setExchangePeriod(TimeUnit.MILLISECONDS.toNanos(mPlan.exchangeMillis()));
        return analysis;
    }

    /** Returns all parts that were ever held back. */
    Set<String> heldParts() {
        return mHeldParts;
    }

    /** Returns the times of the crashes that a part caused. */
    List<Integer> crashMillis(String part) {
        return mCrashMillis.getOrDefault(part, List.of());
    }

    /** Returns how many requests with a part reached servers after a time. */
    long arrivalsAfter(String part, int millis) {
        return mArrivalMillis.getOrDefault(part, List.of()).stream()
                .filter(at -> at > millis)
                .count();
    }

    private long nowNanos() {
        return TimeUnit.MILLISECONDS.toNanos(mNowMillis);
    }

    private void step() {
        mNowMillis += STEP_MILLIS;
        if (mPlan.ratherOtherCrashes()) {
            crashForOtherReasons();
        }
        if (mPlan.restarts() && mRandom.nextInt(1_000) == 0) {
            restartController();
        }
        List<Request> retries = new ArrayList<>(mRetries);
        mRetries.clear();
        retries.forEach(this::send);
        double expected = mPlan.requestsPerSecond() * STEP_MILLIS / 1_000.0;
        int requests = (int) expected + (mRandom.nextDouble() < expected % 1 ? 1 : 0);
        for (int i = 0; i < requests; i++) {
            send(new Request(mRandom.nextInt(mPlan.gateways()), drawParts(), 1, mNextId++));
        }
        for (int i = 0; i < mServers.size(); i++) {
            run(i);
        }
        deliverReports();
    }

    private List<String> drawParts() {
        String base = "base-" + mRandom.nextInt(3);
        String chat = "chat-" + mRandom.nextInt(400);
        if (mNowMillis > BAD_FROM_MILLIS
                && !mPlan.badParts().isEmpty()
                && mRandom.nextDouble() < mPlan.badShare()) {
            String bad = mPlan.badParts().get(mRandom.nextInt(mPlan.badParts().size()));
            return List.of(base, "chat-" + mRandom.nextInt(4), bad);
        }
        return List.of(base, chat);
    }

    private void send(Request request) {
        Verdict verdict = mControllers.get(0).verdicts().inForce(nowNanos(), request.mParts);
        // A gateway hears of a decision with its next exchange.
        int heardMillis = mPlan.exchangeMillis();
        if (verdict != null
                && TimeUnit.NANOSECONDS.toMillis(nowNanos() - verdict.decidedNanos())
                        > heardMillis) {
            return;
        }
        List<Integer> up = new ArrayList<>();
        for (int i = 0; i < mServers.size(); i++) {
            if (mServers.get(i).mDownUntilMillis <= mNowMillis) {
                up.add(i);
            }
        }
        if (up.isEmpty()) {
            return;
        }
        request.mServer = up.get(mRandom.nextInt(up.size()));
        Server server = mServers.get(request.mServer);
        request.mBeginMillis = mNowMillis + 30 + mRandom.nextInt(100) + 4 * server.mOpen.size();
        server.mOpen.add(request);
        for (String part : request.mParts) {
            mArrivalMillis.computeIfAbsent(part, key -> new ArrayList<>()).add(mNowMillis);
        }
    }

    private void run(int index) {
        Server server = mServers.get(index);
        for (Request request : List.copyOf(server.mOpen)) {
            if (!server.mOpen.contains(request) || mNowMillis < request.mBeginMillis) {
                continue;
            }
            String bad = badPartOf(request);
            if (bad != null) {
                mCrashMillis.computeIfAbsent(bad, key -> new ArrayList<>()).add(mNowMillis);
                crash(index);
                return;
            }
            if (!request.mBegun) {
                request.mBegun = true;
                request.mParts.forEach(this::answer);
            }
            if (mNowMillis > request.mBeginMillis + STREAM_MILLIS) {
                server.mOpen.remove(request);
            }
        }
    }

    private String badPartOf(Request request) {
        for (String part : request.mParts) {
            if (mPlan.badParts().contains(part)) {
                return part;
            }
        }
        return null;
    }

    private void answer(String part) {
        mAnsweredMillis.put(part, mNowMillis);
        int reported = mReportedMillis.getOrDefault(part, -1_000);
        if (mWatched.contains(part) && mNowMillis - reported >= 200) {
            mReportedMillis.put(part, mNowMillis);
            report(new Report(mNowMillis, null, part));
        }
    }

    private void crash(int index) {
        Server server = mServers.get(index);
        BackendId id = BackendId.of("s-" + index + "-" + server.mIncarnation);
        for (Request request : server.mOpen) {
            boolean lostWithGateway = mPlan.restarts() && mRandom.nextInt(20) == 0;
            if (!lostWithGateway) {
                List<String> parts = request.mBegun ? List.of() : request.mParts;
                report(new Report(mNowMillis, new Cut(id, 1, request.mHash, parts, null), null));
            }
            if (!request.mBegun && request.mAttempt < MAX_ATTEMPTS) {
                mRetries.add(
                        new Request(
                                request.mGateway, request.mParts, request.mAttempt + 1, mNextId++));
            }
        }
        report(new Report(mNowMillis + 5, Cut.refusedConnection(id, 1), null));
        server.mOpen.clear();
        server.mIncarnation++;
        server.mDownUntilMillis = mNowMillis + DOWN_MILLIS;
    }

    private void crashForOtherReasons() {
        if (mRandom.nextInt(100) == 0) {
            crashIfUp(mRandom.nextInt(mServers.size()));
        }
        if (mRandom.nextInt(600) == 0) {
            // The loss of a rack, or of all.
            int step = 1 + mRandom.nextInt(3);
            for (int i = 0; i < mServers.size(); i += step) {
                crashIfUp(i);
            }
        }
    }

    private void crashIfUp(int index) {
        if (mServers.get(index).mDownUntilMillis <= mNowMillis) {
            crash(index);
        }
    }

    private void report(Report report) {
        report(report, 0);
    }

    private void report(Report report, int pauseMillis) {
        mKeptReports.add(report);
        for (int i = 0; i < CONTROLLERS; i++) {
            send(report, i, pauseMillis);
        }
    }

    private void send(Report report, int controller, int pauseMillis) {
        int delayMillis = 5 + mRandom.nextInt(REPORT_MILLIS) + pauseMillis;
        mReports.add(new Delayed(mNowMillis + delayMillis, controller, report));
    }

    /** A restarted controller gets from the gateways what they have kept. */
    private void restartController() {
        if (mNowMillis - mRestartedMillis < RESTART_PAUSE_MILLIS) {
            return;
        }
        mRestartedMillis = mNowMillis;
        int restarted = mRandom.nextInt(CONTROLLERS);
        mControllers.set(restarted, newAnalysis());
        mReports.removeIf(delayed -> delayed.controller() == restarted);
        for (Report report : mKeptReports) {
            send(report, restarted, mRandom.nextInt(mPlan.exchangeMillis()));
        }
    }

    private void deliverReports() {
        mReports.removeIf(
                delayed -> {
                    if (delayed.arrivalMillis() > mNowMillis) {
                        return false;
                    }
                    deliver(mControllers.get(delayed.controller()), delayed.report());
                    return true;
                });
        if (mNowMillis % 50 != 0) {
            return;
        }
        List<Verdict> made = new ArrayList<>();
        for (CrashAnalysis controller : mControllers) {
            made.addAll(controller.evaluate(nowNanos(), (id, start, since) -> false));
        }
        for (Verdict verdict : made) {
            if (verdict.reason().holds()) {
                mHeldParts.add(verdict.part());
            }
        }
        for (CrashAnalysis controller : mControllers) {
            for (CrashAnalysis other : mControllers) {
                other.verdicts().all().forEach(controller.verdicts()::merge);
            }
        }
        updateWatched();
    }

    private void deliver(CrashAnalysis controller, Report report) {
        long atNanos = TimeUnit.MILLISECONDS.toNanos(report.atMillis());
        if (report.cut() != null) {
            controller.recordCut(nowNanos(), report.cut(), atNanos);
        } else {
            controller.recordAnswer(report.answeredPart(), atNanos);
        }
    }

    private void updateWatched() {
        Set<String> watched = new TreeSet<>();
        mControllers.forEach(controller -> watched.addAll(controller.watchedParts()));
        for (String part : watched) {
            Integer answered = mAnsweredMillis.get(part);
            if (answered != null && !mWatched.contains(part)) {
                report(new Report(answered, null, part), mRandom.nextInt(mPlan.exchangeMillis()));
            }
        }
        mWatched = watched;
    }
}
