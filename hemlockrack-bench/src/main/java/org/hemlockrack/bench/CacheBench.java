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
 * Compares the prefix-cache reuse of placement policies in a simulation. Backend servers are
 * modeled as LRU caches of chat prefixes. Arrivals and failures depend only on the seed, so they
 * are equal for all policies.
 */
public final class CacheBench {
    private static final ServiceId SERVICE = ServiceId.of("assistant");
    private static final ModelVersion VERSION = ModelVersion.of("m", "1");
    private static final PlacementFilter FILTER = PlacementFilter.of(SERVICE, "m");
    private static final double TARGET_SHARE_OF_ORACLE = 0.95;
    private static final double CHAT_END_PROBABILITY = 0.12;
    private static final double WARM_UP_END_SECONDS = 900;
    private static final double[] ORACLE_LOAD_MULTIPLES = {1.0, 1.1, 1.2, 1.25, 1.3, 1.4, 1.5};
    private static final double[] PAUSE_PER_TURNOVER_BOUNDS = {0.25, 0.5, 0.75, 1, 1.5, 2, 4, 1e9};

    private CacheBench() {}

    /** Load per backend server. */
    private enum Load {
        /** About 2.5 requests in flight per server, so random variation decides which are full. */
        LIGHT(1.33, 1.5, 600_000),
        /** 4,600 requests/s on 890 servers, 240 tokens each at 28 ms: about 35 in flight. */
        PROJECTED(4600.0 / 890, 6.7, 3_000_000);

        private final double mRequestsPerSecond;
        private final double mDecodeSeconds;
        private final long mCacheCapacityTokens;

        Load(double requestsPerSecond, double decodeSeconds, long cacheCapacityTokens) {
            mRequestsPerSecond = requestsPerSecond;
            mDecodeSeconds = decodeSeconds;
            mCacheCapacityTokens = cacheCapacityTokens;
        }
    }

    /** Number of servers and instances, their load, and simulated time. */
    private record Scenario(int servers, int instances, Load load, double seconds) {
        String prefix() {
            String name = load.name().toLowerCase(Locale.ROOT);
            return "cache_" + servers + "w_" + instances + "i_" + name + "_";
        }
    }

    private record Result(String name, double reuse, double skew, Simulation simulation) {}

    /**
     * Policies. Those with a cold window use {@link Placement}, the others sort the servers
     * themselves. {@code OURS} is the policy of the router, with cache events.
     */
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
        private final boolean mRecordsChats;

        Policy(Long windowSeconds, boolean recordsChats) {
            mWindowSeconds = windowSeconds;
            mRecordsChats = recordsChats;
        }

        boolean usesPlacement() {
            return mWindowSeconds != null;
        }

        boolean usesEvents() {
            return this == OURS;
        }
    }

    /** A simulated backend server with its cache, least recently used chat first. */
    private static final class Server {
        static final int FULL_LIMIT = 64;

        final BackendId mId;
        final long mCacheCapacityTokens;
        final LinkedHashMap<Long, Integer> mCache = new LinkedHashMap<>(16, 0.75f, true);
        final List<PlacementKey> mAddedKeys = new ArrayList<>();
        final List<PlacementKey> mRemovedKeys = new ArrayList<>();
        long mIncarnation = 1;
        long mSequence;
        long mCachedTokens;
        double mFillTokensPerSecond;
        double mJoinedSeconds = -1000;
        boolean mIsLive = true;
        int mInFlight;

        Server(String name, long cacheCapacityTokens) {
            mCacheCapacityTokens = cacheCapacityTokens;
            mId = BackendId.of(name);
        }

        int rampedLimit(double nowSeconds) {
            double doublings = Math.min(6, Math.floor(nowSeconds - mJoinedSeconds));
            return (int) Math.min(FULL_LIMIT, Math.pow(2, doublings));
        }

        int cachedTokens(long chat) {
            return mCache.containsKey(chat) ? mCache.get(chat) : 0;
        }

        void storeChat(long chat, int tokens) {
            int before = cachedTokens(chat);
            mCache.put(chat, tokens);
            mCachedTokens += tokens - before;
            mFillTokensPerSecond += Math.max(0, tokens - before) / 60.0;
            mAddedKeys.add(new PlacementKey(chat));
            Iterator<Map.Entry<Long, Integer>> oldest = mCache.entrySet().iterator();
            while (mCachedTokens > mCacheCapacityTokens) {
                Map.Entry<Long, Integer> evicted = oldest.next();
                mCachedTokens -= evicted.getValue();
                mRemovedKeys.add(new PlacementKey(evicted.getKey()));
                oldest.remove();
            }
        }

        void restart(double nowSeconds) {
            mIncarnation++;
            mSequence = 0;
            mCache.clear();
            mAddedKeys.clear();
            mRemovedKeys.clear();
            mCachedTokens = 0;
            mJoinedSeconds = nowSeconds;
            mIsLive = true;
            mInFlight = 0;
        }

        Candidate toCandidate(double nowSeconds) {
            CandidateState state = mIsLive ? CandidateState.READY : CandidateState.NOT_LIVE;
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
                    rampedLimit(nowSeconds),
                    mCacheCapacityTokens,
                    mFillTokensPerSecond);
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
                            mAddedKeys,
                            mRemovedKeys,
                            false);
            mAddedKeys.clear();
            mRemovedKeys.clear();
            return event;
        }
    }

    /** One chat. Its own random source makes its turns equal under all policies. */
    private static final class Chat {
        final long mKey;
        final Random mRandom;
        int mTokens;
        double mLastTurnSeconds = -1;

        Chat(long key) {
            mKey = key;
            mRandom = new Random(key);
            mTokens = 800 + mRandom.nextInt(1600);
        }

        double drawPauseSeconds() {
            double meanSeconds = mRandom.nextInt(4) == 0 ? 900 : 40;
            return 5 - meanSeconds * Math.log(1 - mRandom.nextDouble());
        }

        boolean drawIsLastTurn() {
            return mRandom.nextDouble() < CHAT_END_PROBABILITY;
        }
    }

    private record Event(double seconds, long order, Runnable action) {}

    private record Delivery(int instance, CacheEvent event) {}

    /** One simulation run with one policy. */
    private static final class Simulation {
        private final Policy mPolicy;
        private final double mLoadMultiple;
        private final Scenario mScenario;
        private final Random mTraceRandom;
        private final Random mNoiseRandom;
        private final List<Server> mServers = new ArrayList<>();
        private final List<Placement> mPlacements = new ArrayList<>();
        private final List<List<Candidate>> mCandidateHistory = new ArrayList<>();
        private final Map<Integer, List<Delivery>> mDeliveries = new LinkedHashMap<>();
        private final PriorityQueue<Event> mQueue =
                new PriorityQueue<>(
                        Comparator.comparingDouble(Event::seconds).thenComparing(Event::order));
        private final double[] mReusedTokensByPause = new double[PAUSE_PER_TURNOVER_BOUNDS.length];
        private final double[] mPromptTokensByPause = new double[PAUSE_PER_TURNOVER_BOUNDS.length];
        private final List<double[]> mFirstTokenSamples = new ArrayList<>();
        private double mNowSeconds;
        private long mNextOrder;
        private int mRoundRobinOffset;
        private int mServersCreated;
        private double mChatsPerSecond;
        private double mPromptTokens;
        private double mReusedTokens;
        private double mSkewSum;
        private long mSkewSamples;

        Simulation(Policy policy, double loadMultiple, Scenario scenario, long seed) {
            mPolicy = policy;
            mLoadMultiple = loadMultiple;
            mScenario = scenario;
            mTraceRandom = new Random(seed);
            mNoiseRandom = new Random(seed + 1);
            mChatsPerSecond =
                    CHAT_END_PROBABILITY * scenario.load().mRequestsPerSecond * scenario.servers();
            for (int i = 0; i < scenario.servers(); i++) {
                mServers.add(newServer());
            }
            for (int i = 0; policy.usesPlacement() && i < scenario.instances(); i++) {
                long window = TimeUnit.SECONDS.toNanos(policy.mWindowSeconds);
                PlacementSettings settings = PlacementSettings.defaults().withMaxChats(1 << 16);
                mPlacements.add(Placement.create(settings.withColdWindowNanos(window)));
            }
        }

        private Server newServer() {
            return new Server("server-" + mServersCreated++, mScenario.load().mCacheCapacityTokens);
        }

        Result simulate(String name) {
            double scale = 8.0 / mScenario.servers();
            runEverySecond();
            schedule(0, this::startChat);
            schedule(60 * scale, () -> flapServer(60 * scale));
            schedule(120 * scale, () -> restartServer(240 * scale));
            schedule(240 * scale, () -> replaceServer(240 * scale));
            schedule(300, () -> setSurge(true));
            while (mQueue.peek().seconds() < mScenario.seconds()) {
                Event event = mQueue.remove();
                mNowSeconds = event.seconds();
                event.action().run();
            }
            return new Result(name, mReusedTokens / mPromptTokens, mSkewSum / mSkewSamples, this);
        }

        private void schedule(double delaySeconds, Runnable action) {
            mQueue.add(new Event(mNowSeconds + delaySeconds, mNextOrder++, action));
        }

        private long nowNanos() {
            return (long) (mNowSeconds * 1e9);
        }

        private void startChat() {
            runTurn(new Chat(mTraceRandom.nextLong()));
            schedule(-Math.log(1 - mTraceRandom.nextDouble()) / mChatsPerSecond, this::startChat);
        }

        private void setSurge(boolean on) {
            mChatsPerSecond *= on ? 3 : 1 / 3.0;
            schedule(on ? 60 : 420, () -> setSurge(!on));
        }

        private Server randomServer() {
            return mServers.get(mTraceRandom.nextInt(mServers.size()));
        }

        private void flapServer(double periodSeconds) {
            Server server = randomServer();
            double downSeconds = 2 + 6 * mTraceRandom.nextDouble();
            server.mIsLive = false;
            schedule(downSeconds, () -> server.mIsLive = true);
            schedule(periodSeconds, () -> flapServer(periodSeconds));
        }

        private void restartServer(double periodSeconds) {
            Server server = randomServer();
            server.mIsLive = false;
            schedule(20, () -> server.restart(mNowSeconds));
            schedule(periodSeconds, () -> restartServer(periodSeconds));
        }

        private void replaceServer(double periodSeconds) {
            mServers.remove(randomServer());
            schedule(20, this::addServer);
            schedule(periodSeconds, () -> replaceServer(periodSeconds));
        }

        private void addServer() {
            Server server = newServer();
            server.mJoinedSeconds = mNowSeconds;
            mServers.add(server);
        }

        /**
         * Updates the placements once a second, with candidates up to 2 s old and cache events up
         * to 5 s late, a tenth of which are lost.
         */
        private void runEverySecond() {
            List<Candidate> candidates = new ArrayList<>();
            mServers.forEach(server -> candidates.add(server.toCandidate(mNowSeconds)));
            mCandidateHistory.add(candidates);
            for (Placement placement : mPlacements) {
                int lag = mNoiseRandom.nextInt(Math.min(3, mCandidateHistory.size()));
                placement.update(
                        nowNanos(), mCandidateHistory.get(mCandidateHistory.size() - 1 - lag));
            }
            for (Server server : mServers) {
                server.mFillTokensPerSecond *= Math.exp(-1 / 60.0);
                CacheEvent event = server.takeEvent();
                for (int i = 0; mPolicy.usesEvents() && i < mPlacements.size(); i++) {
                    int deliverySecond = (int) mNowSeconds + 1 + mNoiseRandom.nextInt(5);
                    if (mNoiseRandom.nextInt(10) > 0) {
                        Delivery delivery = new Delivery(i, event);
                        mDeliveries
                                .computeIfAbsent(deliverySecond, k -> new ArrayList<>())
                                .add(delivery);
                    }
                }
            }
            List<Delivery> due = mDeliveries.remove((int) mNowSeconds);
            if (due != null) {
                due.forEach(
                        delivery ->
                                mPlacements
                                        .get(delivery.instance())
                                        .applyCacheEvent(nowNanos(), delivery.event()));
            }
            sampleSkew();
            schedule(1, this::runEverySecond);
        }

        private void sampleSkew() {
            int max =
                    mServers.stream()
                            .filter(server -> server.mIsLive)
                            .mapToInt(server -> server.mInFlight)
                            .max()
                            .orElse(0);
            if (mNowSeconds > WARM_UP_END_SECONDS) {
                mSkewSum += max / Math.max(1, meanLoad());
                mSkewSamples++;
            }
        }

        private double meanLoad() {
            return mServers.stream()
                    .filter(server -> server.mIsLive)
                    .mapToInt(server -> server.mInFlight)
                    .average()
                    .orElse(0);
        }

        private void runTurn(Chat chat) {
            int instance = mNoiseRandom.nextInt(mScenario.instances());
            PlacementKey key = new PlacementKey(chat.mKey);
            List<PlacementChoice> choices =
                    mPolicy.usesPlacement()
                            ? mPlacements.get(instance).choose(nowNanos(), key, filterFor(chat), 3)
                            : List.of();
            List<Server> order = mPolicy.usesPlacement() ? findServers(choices) : sortServers(chat);
            Server server = selectServer(order);
            recordTurn(chat, server, order);
            for (PlacementChoice choice : choices) {
                if (mPolicy.mRecordsChats && choice.backend().equals(server.mId)) {
                    long turnover = mPlacements.get(instance).turnoverNanos(choice);
                    recordPause(chat, server, turnover / 1e9);
                    mPlacements.get(instance).recordServed(nowNanos(), key, choice);
                }
            }
            completeTurn(chat, server);
        }

        private static PlacementFilter filterFor(Chat chat) {
            return chat.mLastTurnSeconds < 0 ? FILTER.forFirstTurn() : FILTER;
        }

        private List<Server> findServers(List<PlacementChoice> choices) {
            List<Server> order = new ArrayList<>();
            for (PlacementChoice choice : choices) {
                mServers.stream()
                        .filter(server -> server.mId.equals(choice.backend()))
                        .forEach(order::add);
            }
            return order;
        }

        private List<Server> sortServers(Chat chat) {
            List<Server> order = new ArrayList<>(mServers);
            if (mPolicy == Policy.ROUND_ROBIN) {
                Collections.rotate(order, -mRoundRobinOffset++);
                return order;
            }
            // LEAST_LOAD uses the current loads; only ORACLE uses the contents of the caches.
            order.sort(Comparator.comparingInt(server -> server.mInFlight));
            if (mPolicy == Policy.ORACLE) {
                order.sort(Comparator.comparingInt(server -> -server.cachedTokens(chat.mKey)));
            }
            return order;
        }

        /**
         * Returns the first server below the owner's load bound, which is equal for all policies.
         * If there is none, returns the live server with the least load relative to its limit.
         */
        private Server selectServer(List<Server> order) {
            double bound = Math.ceil(mLoadMultiple * Math.max(1, meanLoad()));
            for (Server server : order) {
                if (server.mIsLive
                        && server.mInFlight < Math.min(bound, server.rampedLimit(mNowSeconds))) {
                    return server;
                }
            }
            return mServers.stream()
                    .filter(server -> server.mIsLive)
                    .min(
                            Comparator.comparingDouble(
                                    server ->
                                            (double) server.mInFlight
                                                    / server.rampedLimit(mNowSeconds)))
                    .orElseThrow();
        }

        private void recordTurn(Chat chat, Server server, List<Server> order) {
            if (mNowSeconds < WARM_UP_END_SECONDS) {
                return;
            }
            int reusedTokens = Math.min(chat.mTokens, server.cachedTokens(chat.mKey));
            mPromptTokens += chat.mTokens;
            mReusedTokens += reusedTokens;
            Server hedgeServer =
                    order.stream().filter(other -> other != server).findFirst().orElse(server);
            int hedgeMissedTokens =
                    chat.mTokens - Math.min(chat.mTokens, hedgeServer.cachedTokens(chat.mKey));
            mFirstTokenSamples.add(
                    new double[] {
                        firstTokenSeconds(chat.mTokens - reusedTokens, server),
                        firstTokenSeconds(hedgeMissedTokens, hedgeServer),
                        chat.mTokens - reusedTokens,
                        hedgeMissedTokens
                    });
        }

        /**
         * Returns the time to first token. Prefill runs at 4,000 tokens/s, slower with load; one
         * request in fifty stalls for a second.
         */
        private double firstTokenSeconds(int missedTokens, Server server) {
            double stall = mNoiseRandom.nextInt(50) == 0 ? 1 : 0;
            return 0.03
                    + missedTokens / 4000.0 * (1 + (double) server.mInFlight / Server.FULL_LIMIT)
                    + stall;
        }

        private void recordPause(Chat chat, Server server, double turnoverSeconds) {
            if (chat.mLastTurnSeconds < WARM_UP_END_SECONDS) {
                return;
            }
            double ratio = (mNowSeconds - chat.mLastTurnSeconds) / turnoverSeconds;
            int bucket = 0;
            while (ratio >= PAUSE_PER_TURNOVER_BOUNDS[bucket]) {
                bucket++;
            }
            mPromptTokensByPause[bucket] += chat.mTokens;
            mReusedTokensByPause[bucket] += Math.min(chat.mTokens, server.cachedTokens(chat.mKey));
        }

        private void completeTurn(Chat chat, Server server) {
            int missedTokens =
                    chat.mTokens - Math.min(chat.mTokens, server.cachedTokens(chat.mKey));
            long incarnation = server.mIncarnation;
            server.mInFlight++;
            schedule(
                    mScenario.load().mDecodeSeconds + missedTokens / 4000.0,
                    () -> server.mInFlight -= server.mIncarnation == incarnation ? 1 : 0);
            chat.mTokens += 200;
            server.storeChat(chat.mKey, chat.mTokens);
            chat.mTokens += 100 + chat.mRandom.nextInt(200);
            chat.mLastTurnSeconds = mNowSeconds;
            if (!chat.drawIsLastTurn()) {
                schedule(chat.drawPauseSeconds(), () -> runTurn(chat));
            }
        }
    }

    /**
     * Runs the benchmark and prints a table and {@code name=value} lines.
     *
     * @param args {@code --seed N}, 1 if absent
     */
    public static void main(String[] args) {
        long seed = args.length == 2 && args[0].equals("--seed") ? Long.parseLong(args[1]) : 1;
        for (Load load : Load.values()) {
            comparePolicies(new Scenario(8, 8, load, 5400), seed);
            comparePolicies(new Scenario(34, 100, load, 2700), seed);
        }
        measureDecisionTime("890_of_26_models", 26);
        measureDecisionTime("890_of_1_model", 1);
        measureTableSize();
    }

    private static void comparePolicies(Scenario scenario, long seed) {
        List<Result> results = new ArrayList<>();
        Result ours = null;
        for (Policy policy : Policy.values()) {
            if (policy == Policy.ORACLE) {
                continue;
            }
            Result result =
                    new Simulation(policy, 1.25, scenario, seed)
                            .simulate(policy.name().toLowerCase(Locale.ROOT));
            results.add(result);
            ours = policy == Policy.OURS ? result : ours;
        }
        Result matchedOracle = null;
        for (double loadMultiple : ORACLE_LOAD_MULTIPLES) {
            Result oracle =
                    new Simulation(Policy.ORACLE, loadMultiple, scenario, seed)
                            .simulate("oracle_" + loadMultiple);
            results.add(oracle);
            if (matchedOracle == null || oracle.skew() <= ours.skew()) {
                matchedOracle = oracle;
            }
        }
        printResults(scenario, results);
        double share = ours.reuse() / matchedOracle.reuse();
        printValue(scenario.prefix() + "oracle_skew_at_comparison", matchedOracle.skew());
        printValue(scenario.prefix() + "share_of_oracle", share);
        System.out.println(
                scenario.prefix()
                        + "target_0.95="
                        + (share >= TARGET_SHARE_OF_ORACLE ? "met" : "not met"));
        printPauses(scenario, ours.simulation());
        printHedging(scenario, ours.simulation());
    }

    private static void printResults(Scenario scenario, List<Result> results) {
        System.out.printf(
                "%n%d backend servers, %d instances, %s load%n",
                scenario.servers(),
                scenario.instances(),
                scenario.load().name().toLowerCase(Locale.ROOT));
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
            printValue(scenario.prefix() + "reuse_" + result.name(), result.reuse());
            printValue(scenario.prefix() + "skew_" + result.name(), result.skew());
        }
    }

    private static void printPauses(Scenario scenario, Simulation simulation) {
        for (int i = 0; i < PAUSE_PER_TURNOVER_BOUNDS.length; i++) {
            String bound =
                    i == PAUSE_PER_TURNOVER_BOUNDS.length - 1
                            ? "more"
                            : "" + PAUSE_PER_TURNOVER_BOUNDS[i];
            double reuse =
                    simulation.mReusedTokensByPause[i]
                            / Math.max(1, simulation.mPromptTokensByPause[i]);
            printValue(scenario.prefix() + "reuse_pause_per_turnover_below_" + bound, reuse);
        }
    }

    /**
     * Prints the times to first token with hedging after the p95. The extra prefill is counted, but
     * does not slow down the servers.
     */
    private static void printHedging(Scenario scenario, Simulation simulation) {
        double[] withoutHedge =
                simulation.mFirstTokenSamples.stream()
                        .mapToDouble(sample -> sample[0])
                        .sorted()
                        .toArray();
        double hedgeDelaySeconds = withoutHedge[(int) (withoutHedge.length * 0.95)];
        double hedgePrefilledTokens = 0;
        double prefilledTokens = 0;
        double[] hedged = new double[withoutHedge.length];
        for (int i = 0; i < hedged.length; i++) {
            double[] sample = simulation.mFirstTokenSamples.get(i);
            hedged[i] = Math.min(sample[0], hedgeDelaySeconds + sample[1]);
            prefilledTokens += sample[2];
            hedgePrefilledTokens += sample[0] > hedgeDelaySeconds ? sample[3] : 0;
        }
        Arrays.sort(hedged);
        for (double quantile : new double[] {0.95, 0.99, 0.999}) {
            int at = (int) (withoutHedge.length * quantile);
            printValue(scenario.prefix() + "first_token_s_p" + quantile, withoutHedge[at]);
            printValue(scenario.prefix() + "first_token_hedged_s_p" + quantile, hedged[at]);
        }
        printValue(
                scenario.prefix() + "hedging_extra_prefill_share",
                hedgePrefilledTokens / prefilledTokens);
    }

    private static void measureDecisionTime(String name, int models) {
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
            long takenNanos = System.nanoTime() - start;
            placement.recordServed(i, key, choices.get(0));
            if (i >= 300_000) {
                histogram.recordValue(takenNanos);
            }
        }
        printValue("decision_us_p50_" + name, histogram.getValueAtPercentile(50) / 1e3);
        printValue("decision_us_p99_" + name, histogram.getValueAtPercentile(99) / 1e3);
        printValue("decision_us_p99.9_" + name, histogram.getValueAtPercentile(99.9) / 1e3);
    }

    private static void measureTableSize() {
        for (int chats : new int[] {1 << 14, 100_000, 1 << 17}) {
            Placement placement =
                    Placement.create(PlacementSettings.defaults().withMaxChats(chats));
            printValue("table_bytes_per_chat_" + chats, (double) placement.tableBytes() / chats);
        }
    }

    private static void printValue(String name, double value) {
        System.out.printf(Locale.ROOT, "%s=%.4f%n", name, value);
    }
}
