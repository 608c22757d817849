package org.hemlockrack.bench;

import java.util.ArrayList;
import java.util.Arrays;
import java.util.Collections;
import java.util.Comparator;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.PriorityQueue;
import java.util.Random;
import java.util.concurrent.TimeUnit;
import org.HdrHistogram.Histogram;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.placement.CacheEvent;
import org.hemlockrack.placement.Candidate;
import org.hemlockrack.placement.CandidateState;
import org.hemlockrack.placement.Placement;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.placement.PlacementFilter;
import org.hemlockrack.placement.PlacementKey;
import org.hemlockrack.placement.PlacementSettings;

/**
 * Compares cache reuse of placement policies in a loop over the decision objects. Engines are LRU
 * caches of chat prefixes; arrivals and faults depend only on the seed, so all policies see the
 * same ones.
 */
public final class CacheBench {
    private static final ServiceId SERVICE = ServiceId.of("assistant");
    private static final ModelVersion VERSION = ModelVersion.of("m", "1");
    private static final PlacementFilter FILTER = PlacementFilter.of(SERVICE, "m");
    private static final double TARGET = 0.95;
    private static final double END_SHARE = 0.12;
    private static final double WARM_UP_SECONDS = 900;
    private static final double[] ORACLE_MULTIPLES = {1.0, 1.1, 1.2, 1.25, 1.3, 1.4, 1.5};
    private static final double[] PAUSE_BOUNDS = {0.25, 0.5, 0.75, 1, 1.5, 2, 4, 1e9};

    private CacheBench() {}

    /** Load per server. */
    private enum Load {
        /** About 2.5 requests in flight per server; chance decides which server is at its bound. */
        LIGHT(1.33, 1.5, 600_000),
        /** 4,600 requests/s on 890 servers, 240 tokens each at 28 ms: about 35 in flight. */
        PROJECTED(4600.0 / 890, 6.7, 3_000_000);

        private final double mRequestsPerSecond;
        private final double mDecodeSeconds;
        private final long mCacheTokens;

        Load(double requestsPerSecond, double decodeSeconds, long cacheTokens) {
            mRequestsPerSecond = requestsPerSecond;
            mDecodeSeconds = decodeSeconds;
            mCacheTokens = cacheTokens;
        }
    }

    /** Number of servers and instances, their load, and simulated time. */
    private record Scenario(int workers, int instances, Load load, double seconds) {
        String prefix() {
            String name = load.name().toLowerCase(Locale.ROOT);
            return "cache_" + workers + "w_" + instances + "i_" + name + "_";
        }
    }

    private record Result(String name, double reuse, double skew, Simulation run) {}

    /** Policies; those with a placement read its choices, the others sort servers themselves. */
    private enum Policy {
        ROUND_ROBIN(null, false),
        LEAST_LOAD(null, false),
        PLAIN_RENDEZVOUS(0L, false),
        OURS_NO_EVENTS(60L, true),
        OURS(60L, true),
        NO_EVENTS_WINDOW_0(0L, true),
        NO_EVENTS_WINDOW_300(300L, true),
        ORACLE(null, false);

        private final Long mWindowSeconds;
        private final boolean mRemembers;

        Policy(Long windowSeconds, boolean remembers) {
            mWindowSeconds = windowSeconds;
            mRemembers = remembers;
        }

        boolean usesPlacement() {
            return mWindowSeconds != null;
        }

        boolean usesEvents() {
            return this == OURS;
        }
    }

    /** One engine: its cache in order of use, and its work. */
    private static final class Server {
        static final int LIMIT = 64;

        final BackendId mId;
        final long mCacheTokens;
        final LinkedHashMap<Long, Integer> mCache = new LinkedHashMap<>(16, 0.75f, true);
        final List<PlacementKey> mAdded = new ArrayList<>();
        final List<PlacementKey> mRemoved = new ArrayList<>();
        long mIncarnation = 1;
        long mSequence;
        long mCachedTokens;
        double mFillRate;
        double mJoinedSeconds = -1000;
        boolean mLive = true;
        int mInFlight;

        Server(String name, long cacheTokens) {
            mCacheTokens = cacheTokens;
            mId = BackendId.of(name);
        }

        int limit(double now) {
            double doublings = Math.min(6, Math.floor(now - mJoinedSeconds));
            return (int) Math.min(LIMIT, Math.pow(2, doublings));
        }

        int cached(long chat) {
            return mCache.containsKey(chat) ? mCache.get(chat) : 0;
        }

        void store(long chat, int tokens) {
            int before = cached(chat);
            mCache.put(chat, tokens);
            mCachedTokens += tokens - before;
            mFillRate += Math.max(0, tokens - before) / 60.0;
            mAdded.add(new PlacementKey(chat));
            Iterator<Map.Entry<Long, Integer>> oldest = mCache.entrySet().iterator();
            while (mCachedTokens > mCacheTokens) {
                Map.Entry<Long, Integer> evicted = oldest.next();
                mCachedTokens -= evicted.getValue();
                mRemoved.add(new PlacementKey(evicted.getKey()));
                oldest.remove();
            }
        }

        void restart(double now) {
            mIncarnation++;
            mSequence = 0;
            mCache.clear();
            mAdded.clear();
            mRemoved.clear();
            mCachedTokens = 0;
            mJoinedSeconds = now;
            mLive = true;
            mInFlight = 0;
        }

        Candidate candidate(double now) {
            CandidateState state = mLive ? CandidateState.READY : CandidateState.NOT_LIVE;
            return new Candidate(
                    SERVICE,
                    mId,
                    mIncarnation,
                    VERSION,
                    ZoneId.of("zone"),
                    true,
                    state,
                    1,
                    1,
                    mInFlight,
                    limit(now),
                    mCacheTokens,
                    mFillRate);
        }

        CacheEvent takeEvent() {
            CacheEvent event =
                    new CacheEvent(
                            SERVICE,
                            mId,
                            VERSION,
                            mIncarnation,
                            ++mSequence,
                            0,
                            mAdded,
                            mRemoved,
                            false);
            mAdded.clear();
            mRemoved.clear();
            return event;
        }
    }

    /** One chat; its own random source keeps its turns equal under all policies. */
    private static final class Chat {
        final long mKey;
        final Random mRandom;
        int mTokens;
        double mLastSeconds = -1;

        Chat(long key) {
            mKey = key;
            mRandom = new Random(key);
            mTokens = 800 + mRandom.nextInt(1600);
        }

        double pauseSeconds() {
            double mean = mRandom.nextInt(4) == 0 ? 900 : 40;
            return 5 - mean * Math.log(1 - mRandom.nextDouble());
        }

        boolean ends() {
            return mRandom.nextDouble() < END_SHARE;
        }
    }

    private record Event(double seconds, long order, Runnable action) {}

    private record Delivery(int instance, CacheEvent event) {}

    /** One simulated history under one policy. */
    private static final class Simulation {
        private final Policy mPolicy;
        private final double mMultiple;
        private final Scenario mSize;
        private final Random mTrace;
        private final Random mNoise;
        private final List<Server> mServers = new ArrayList<>();
        private final List<Placement> mPlacements = new ArrayList<>();
        private final List<List<Candidate>> mViews = new ArrayList<>();
        private final Map<Integer, List<Delivery>> mDeliveries = new LinkedHashMap<>();
        private final PriorityQueue<Event> mQueue =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Event::seconds).thenComparing(Event::order));
        private final double[] mPauseReused = new double[PAUSE_BOUNDS.length];
        private final double[] mPausePrompt = new double[PAUSE_BOUNDS.length];
        private final List<double[]> mFirstTokens = new ArrayList<>();
        private double mNow;
        private long mOrder;
        private int mRoundRobin;
        private int mNames;
        private double mStartRate;
        private double mPromptTokens;
        private double mReusedTokens;
        private double mSkewSum;
        private long mSkewSamples;

        Simulation(Policy policy, double multiple, Scenario size, long seed) {
            mPolicy = policy;
            mMultiple = multiple;
            mSize = size;
            mTrace = new Random(seed);
            mNoise = new Random(seed + 1);
            mStartRate = END_SHARE * size.load().mRequestsPerSecond * size.workers();
            for (int i = 0; i < size.workers(); i++) {
                mServers.add(newServer());
            }
            for (int i = 0; policy.usesPlacement() && i < size.instances(); i++) {
                long window = TimeUnit.SECONDS.toNanos(policy.mWindowSeconds);
                PlacementSettings settings = PlacementSettings.defaults().withMaxChats(1 << 16);
                mPlacements.add(Placement.create(settings.withColdWindowNanos(window)));
            }
        }

        private Server newServer() {
            return new Server("server-" + mNames++, mSize.load().mCacheTokens);
        }

        Result run(String name) {
            double scale = 8.0 / mSize.workers();
            tick();
            schedule(0, this::startChat);
            schedule(60 * scale, () -> flap(60 * scale));
            schedule(120 * scale, () -> restart(240 * scale));
            schedule(240 * scale, () -> replace(240 * scale));
            schedule(300, () -> surge(true));
            while (mQueue.peek().seconds() < mSize.seconds()) {
                Event event = mQueue.remove();
                mNow = event.seconds();
                event.action().run();
            }
            return new Result(name, mReusedTokens / mPromptTokens, mSkewSum / mSkewSamples, this);
        }

        private void schedule(double delaySeconds, Runnable action) {
            mQueue.add(new Event(mNow + delaySeconds, mOrder++, action));
        }

        private long nanos() {
            return (long) (mNow * 1e9);
        }

        private void startChat() {
            turn(new Chat(mTrace.nextLong()));
            schedule(-Math.log(1 - mTrace.nextDouble()) / mStartRate, this::startChat);
        }

        private void surge(boolean on) {
            mStartRate *= on ? 3 : 1 / 3.0;
            schedule(on ? 60 : 420, () -> surge(!on));
        }

        private Server anyServer() {
            return mServers.get(mTrace.nextInt(mServers.size()));
        }

        private void flap(double period) {
            Server server = anyServer();
            double downSeconds = 2 + 6 * mTrace.nextDouble();
            server.mLive = false;
            schedule(downSeconds, () -> server.mLive = true);
            schedule(period, () -> flap(period));
        }

        private void restart(double period) {
            Server server = anyServer();
            server.mLive = false;
            schedule(20, () -> server.restart(mNow));
            schedule(period, () -> restart(period));
        }

        private void replace(double period) {
            mServers.remove(anyServer());
            schedule(20, this::join);
            schedule(period, () -> replace(period));
        }

        private void join() {
            Server server = newServer();
            server.mJoinedSeconds = mNow;
            mServers.add(server);
        }

        /** Once a second: views up to 2 s old, cache events up to 5 s late with a tenth lost. */
        private void tick() {
            List<Candidate> view = new ArrayList<>();
            mServers.forEach(s -> view.add(s.candidate(mNow)));
            mViews.add(view);
            for (Placement placement : mPlacements) {
                int lag = mNoise.nextInt(Math.min(3, mViews.size()));
                placement.update(nanos(), mViews.get(mViews.size() - 1 - lag));
            }
            for (Server server : mServers) {
                server.mFillRate *= Math.exp(-1 / 60.0);
                CacheEvent event = server.takeEvent();
                for (int i = 0; mPolicy.usesEvents() && i < mPlacements.size(); i++) {
                    int at = (int) mNow + 1 + mNoise.nextInt(5);
                    if (mNoise.nextInt(10) > 0) {
                        Delivery delivery = new Delivery(i, event);
                        mDeliveries.computeIfAbsent(at, k -> new ArrayList<>()).add(delivery);
                    }
                }
            }
            List<Delivery> due = mDeliveries.remove((int) mNow);
            if (due != null) {
                due.forEach(d -> mPlacements.get(d.instance()).applyCacheEvent(nanos(), d.event()));
            }
            sampleSkew();
            schedule(1, this::tick);
        }

        private void sampleSkew() {
            int max =
                    mServers.stream()
                            .filter(s -> s.mLive)
                            .mapToInt(s -> s.mInFlight)
                            .max()
                            .orElse(0);
            if (mNow > WARM_UP_SECONDS) {
                mSkewSum += max / Math.max(1, meanLoad());
                mSkewSamples++;
            }
        }

        private double meanLoad() {
            return mServers.stream()
                    .filter(s -> s.mLive)
                    .mapToInt(s -> s.mInFlight)
                    .average()
                    .orElse(0);
        }

        private void turn(Chat chat) {
            int instance = mNoise.nextInt(mSize.instances());
            PlacementKey key = new PlacementKey(chat.mKey);
            List<PlacementChoice> choices =
                    mPolicy.usesPlacement()
                            ? mPlacements.get(instance).choose(nanos(), key, filter(chat), 3)
                            : List.of();
            List<Server> order = mPolicy.usesPlacement() ? servers(choices) : sorted(chat);
            Server server = admit(order);
            serve(chat, server, order);
            for (PlacementChoice choice : choices) {
                if (mPolicy.mRemembers && choice.backend().equals(server.mId)) {
                    long turnover = mPlacements.get(instance).turnoverNanos(choice);
                    countPause(chat, server, turnover / 1e9);
                    mPlacements.get(instance).recordServed(nanos(), key, choice);
                }
            }
            finish(chat, server);
        }

        private static PlacementFilter filter(Chat chat) {
            return chat.mLastSeconds < 0 ? FILTER.forFirstTurn() : FILTER;
        }

        private List<Server> servers(List<PlacementChoice> choices) {
            List<Server> order = new ArrayList<>();
            for (PlacementChoice choice : choices) {
                mServers.stream().filter(s -> s.mId.equals(choice.backend())).forEach(order::add);
            }
            return order;
        }

        private List<Server> sorted(Chat chat) {
            List<Server> order = new ArrayList<>(mServers);
            if (mPolicy == Policy.ROUND_ROBIN) {
                Collections.rotate(order, -mRoundRobin++);
                return order;
            }
            // Least load sees current loads; only the oracle sees caches.
            order.sort(Comparator.comparingInt(s -> s.mInFlight));
            if (mPolicy == Policy.ORACLE) {
                order.sort(Comparator.comparingInt(s -> -s.cached(chat.mKey)));
            }
            return order;
        }

        /**
         * The owner's bound, equal for all policies; a request refused by all goes where it fits.
         */
        private Server admit(List<Server> order) {
            double bound = Math.ceil(mMultiple * Math.max(1, meanLoad()));
            for (Server server : order) {
                if (server.mLive && server.mInFlight < Math.min(bound, server.limit(mNow))) {
                    return server;
                }
            }
            return mServers.stream()
                    .filter(s -> s.mLive)
                    .min(Comparator.comparingDouble(s -> (double) s.mInFlight / s.limit(mNow)))
                    .orElseThrow();
        }

        private void serve(Chat chat, Server server, List<Server> order) {
            if (mNow < WARM_UP_SECONDS) {
                return;
            }
            int reused = Math.min(chat.mTokens, server.cached(chat.mKey));
            mPromptTokens += chat.mTokens;
            mReusedTokens += reused;
            Server second = order.stream().filter(s -> s != server).findFirst().orElse(server);
            int secondMissed = chat.mTokens - Math.min(chat.mTokens, second.cached(chat.mKey));
            mFirstTokens.add(
                    new double[] {
                        firstTokenSeconds(chat.mTokens - reused, server),
                        firstTokenSeconds(secondMissed, second),
                        chat.mTokens - reused,
                        secondMissed
                    });
        }

        /**
         * Prefill at 4,000 tokens/s, slower with load; one request in fifty stalls for a second.
         */
        private double firstTokenSeconds(int missed, Server server) {
            double stall = mNoise.nextInt(50) == 0 ? 1 : 0;
            return 0.03 + missed / 4000.0 * (1 + (double) server.mInFlight / Server.LIMIT) + stall;
        }

        private void countPause(Chat chat, Server server, double turnoverSeconds) {
            if (chat.mLastSeconds < WARM_UP_SECONDS) {
                return;
            }
            double ratio = (mNow - chat.mLastSeconds) / turnoverSeconds;
            int bucket = 0;
            while (ratio >= PAUSE_BOUNDS[bucket]) {
                bucket++;
            }
            mPausePrompt[bucket] += chat.mTokens;
            mPauseReused[bucket] += Math.min(chat.mTokens, server.cached(chat.mKey));
        }

        private void finish(Chat chat, Server server) {
            int missed = chat.mTokens - Math.min(chat.mTokens, server.cached(chat.mKey));
            long incarnation = server.mIncarnation;
            server.mInFlight++;
            schedule(
                    mSize.load().mDecodeSeconds + missed / 4000.0,
                    () -> server.mInFlight -= server.mIncarnation == incarnation ? 1 : 0);
            chat.mTokens += 200;
            server.store(chat.mKey, chat.mTokens);
            chat.mTokens += 100 + chat.mRandom.nextInt(200);
            chat.mLastSeconds = mNow;
            if (!chat.ends()) {
                schedule(chat.pauseSeconds(), () -> turn(chat));
            }
        }
    }

    /**
     * Runs the benchmark and prints a table and {@code name=value} lines.
     *
     * @param args {@code --seed N}, 1 by default
     */
    public static void main(String[] args) {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        for (Load load : Load.values()) {
            compare(new Scenario(8, 8, load, 5400), seed);
            compare(new Scenario(34, 100, load, 2700), seed);
        }
        decisionTime("890_of_26_models", 26);
        decisionTime("890_of_1_model", 1);
        tableSize();
    }

    private static void compare(Scenario size, long seed) {
        List<Result> results = new ArrayList<>();
        Result ours = null;
        for (Policy policy : Policy.values()) {
            if (policy == Policy.ORACLE) {
                continue;
            }
            Result result =
                    new Simulation(policy, 1.25, size, seed)
                            .run(policy.name().toLowerCase(Locale.ROOT));
            results.add(result);
            ours = policy == Policy.OURS ? result : ours;
        }
        Result equal = null;
        for (double multiple : ORACLE_MULTIPLES) {
            Result oracle =
                    new Simulation(Policy.ORACLE, multiple, size, seed).run("oracle_" + multiple);
            results.add(oracle);
            if (equal == null || oracle.skew() <= ours.skew()) {
                equal = oracle;
            }
        }
        print(size, results);
        double share = ours.reuse() / equal.reuse();
        value(size.prefix() + "oracle_skew_at_comparison", equal.skew());
        value(size.prefix() + "share_of_oracle", share);
        System.out.println(size.prefix() + "target_0.95=" + (share >= TARGET ? "met" : "not met"));
        printPauses(size, ours.run());
        printHedging(size, ours.run());
    }

    private static void print(Scenario size, List<Result> results) {
        System.out.printf(
                "%n%d workers, %d instances, %s load%n",
                size.workers(), size.instances(), size.load().name().toLowerCase(Locale.ROOT));
        System.out.printf("%-20s %8s %8s%n", "policy", "reuse", "skew");
        for (Result result : results) {
            System.out.printf(
                    Locale.ROOT,
                    "%-20s %8.4f %8.3f%n",
                    result.name(),
                    result.reuse(),
                    result.skew());
        }
        for (Result result : results) {
            value(size.prefix() + "reuse_" + result.name(), result.reuse());
            value(size.prefix() + "skew_" + result.name(), result.skew());
        }
    }

    private static void printPauses(Scenario size, Simulation run) {
        for (int i = 0; i < PAUSE_BOUNDS.length; i++) {
            String bound = i == PAUSE_BOUNDS.length - 1 ? "more" : "" + PAUSE_BOUNDS[i];
            double reuse = run.mPauseReused[i] / Math.max(1, run.mPausePrompt[i]);
            value(size.prefix() + "reuse_pause_per_turnover_below_" + bound, reuse);
        }
    }

    /** Hedges after the p95 first-token time; the extra load is counted but not fed back. */
    private static void printHedging(Scenario size, Simulation run) {
        double[] plain = run.mFirstTokens.stream().mapToDouble(t -> t[0]).sorted().toArray();
        double delay = plain[(int) (plain.length * 0.95)];
        double extra = 0;
        double prefilled = 0;
        double[] hedged = new double[plain.length];
        for (int i = 0; i < hedged.length; i++) {
            double[] times = run.mFirstTokens.get(i);
            hedged[i] = Math.min(times[0], delay + times[1]);
            prefilled += times[2];
            extra += times[0] > delay ? times[3] : 0;
        }
        Arrays.sort(hedged);
        for (double quantile : new double[] {0.95, 0.99, 0.999}) {
            int at = (int) (plain.length * quantile);
            value(size.prefix() + "first_token_s_p" + quantile, plain[at]);
            value(size.prefix() + "first_token_hedged_s_p" + quantile, hedged[at]);
        }
        value(size.prefix() + "hedging_extra_prefill_share", extra / prefilled);
    }

    private static void decisionTime(String name, int models) {
        List<Candidate> candidates = new ArrayList<>();
        for (int i = 0; i < 890; i++) {
            ModelVersion version = ModelVersion.of("m" + i % models, "1");
            candidates.add(
                    new Candidate(
                            SERVICE,
                            BackendId.of("server-" + i),
                            1,
                            version,
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
        Placement placement = Placement.create(PlacementSettings.defaults());
        placement.update(0, candidates);
        Histogram histogram = new Histogram(TimeUnit.SECONDS.toNanos(10), 3);
        Random random = new Random(1);
        for (int i = 0; i < 600_000; i++) {
            PlacementKey key = new PlacementKey(random.nextInt(200_000) * 0x9e3779b97f4a7c15L);
            PlacementFilter filter = PlacementFilter.of(SERVICE, "m" + random.nextInt(models));
            long start = System.nanoTime();
            List<PlacementChoice> choices = placement.choose(i, key, filter, 3);
            long taken = System.nanoTime() - start;
            placement.recordServed(i, key, choices.get(0));
            if (i >= 300_000) {
                histogram.recordValue(taken);
            }
        }
        value("decision_us_p50_" + name, histogram.getValueAtPercentile(50) / 1e3);
        value("decision_us_p99_" + name, histogram.getValueAtPercentile(99) / 1e3);
        value("decision_us_p99.9_" + name, histogram.getValueAtPercentile(99.9) / 1e3);
    }

    private static void tableSize() {
        for (int chats : new int[] {1 << 14, 100_000, 1 << 17}) {
            Placement placement =
                    Placement.create(PlacementSettings.defaults().withMaxChats(chats));
            value("table_bytes_per_chat_" + chats, (double) placement.tableBytes() / chats);
        }
    }

    private static void value(String name, double value) {
        System.out.printf(Locale.ROOT, "%s=%.4f%n", name, value);
    }
}
