package org.hemlockrack.quarantine;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.Deque;
import java.util.EnumSet;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.jspecify.annotations.Nullable;

/**
 * Decides which prompt parts crash the backend servers that answer on them, from the requests that
 * all gateways saw cut.
 *
 * <p>A part is held back once several servers have crashed, one after the other, each with a
 * request that contains the part and had no answer, while no server has begun an answer on the part
 * since the first of these crashes. A request in progress is cut in any crash, but a part that is
 * sound is soon answered elsewhere. A crash accuses one part only: what is left is decided among
 * the crashes that no part accounts for. A decision ends by itself; if the next request crashes a
 * server again, it is renewed for longer. Not thread-safe; time is monotonic and passed in.
 */
public final class CrashAnalysis {
    /** Crashes after which a part is held back that no server has answered on lately. */
    static final int MIN_CRASHES = 3;

    /** What a crash counts of a server where many requests waited: each was hardly the cause. */
    private static final double CROWDED_WEIGHT = 0.6;

    /** Crashes that are enough even if there were many others meanwhile. */
    private static final int SURE_CRASHES = 2 * MIN_CRASHES;

    /** A part must be in one of so many crashes. */
    private static final int MIN_SHARE_DIVISOR = 4;

    /**
     * Least time between two crashes that count separately; an event such as the loss of a rack
     * ends several servers at once.
     */
    static final long MIN_GAP_NANOS = TimeUnit.MILLISECONDS.toNanos(150);

    /** Time for which crashes and answers are remembered. */
    static final long WINDOW_NANOS = TimeUnit.SECONDS.toNanos(60);

    /** Time for which a part is held back at first; four times as long each further time. */
    static final long FIRST_HOLD_NANOS = TimeUnit.SECONDS.toNanos(60);

    private static final int HOLD_FACTOR_BITS = 2;
    private static final long MAX_HOLD_NANOS =
            TimeUnit.MILLISECONDS.toNanos(Verdict.MAX_REMAINING_MILLIS);

    /**
     * Age from which a heartbeat cannot have been sent before the crash: heartbeats are sent about
     * once a second, and may be delayed by as much.
     */
    private static final long HEARTBEAT_DELAY_NANOS = TimeUnit.MILLISECONDS.toNanos(2_500);

    /** Longest time until a gateway that has something to report has done so. */
    private static final long MAX_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    private static final int MAX_CRASHES = 128;
    private static final int MAX_ANSWERED_PARTS = 4_096;

    /** Largest number of parts about whose answers gateways are asked. */
    static final int MAX_WATCHED_PARTS = 128;

    /** Largest number of requests about whose answers gateways are asked. */
    static final int MAX_WATCHED_REQUESTS = 128;

    /** Least time between two reports of answers on one part by one gateway. */
    public static final long ANSWER_REPORT_NANOS = TimeUnit.MILLISECONDS.toNanos(200);

    /** Exchanges in which a gateway repeats all that it has kept. */
    private static final int EXCHANGES_AFTER_START = 10;

    /**
     * More crashes, then no earlier answers, then more crashes that other parts account for, then
     * the deeper part: with equal evidence, fewer sound requests share it.
     */
    private static final Comparator<Suspect> STRENGTH =
            Comparator.comparingDouble(Suspect::weight)
                    .thenComparing(suspect -> !suspect.answeredBefore())
                    .thenComparingInt(Suspect::allCrashes)
                    .thenComparingInt(Suspect::position)
                    .thenComparing(Suspect::part);

    /** Rules that a test can leave out to show that it needs them. */
    enum Rule {
        ANSWER_ACQUITS,
        WAITS_FOR_REPORTS,
        ONE_PART_PER_CRASH,
        CRASHES_APART
    }

    /** A part and the number of separate crashes that speak against it. */
    private record Suspect(
            String part,
            int crashes,
            double weight,
            int allCrashes,
            boolean answeredBefore,
            int position) {}

    private final long mStartNanos;
    private final Set<Rule> mRules;
    private final VerdictTable mVerdicts = VerdictTable.create();
    private final Deque<Crash> mCrashes = new ArrayDeque<>();
    private final Map<String, Long> mWatchedSinceNanos = new HashMap<>();
    private long mExchangeNanos = TimeUnit.MILLISECONDS.toNanos(100);

    /** Time of the newest answer on each part that was reported. */
    private final Map<String, Long> mAnsweredNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_ANSWERED_PARTS;
                }
            };

    private CrashAnalysis(long startNanos, Set<Rule> rules) {
        mStartNanos = startNanos;
        mRules = rules;
    }

    /**
     * Creates an analysis without evidence. It accuses no part before the gateways have had the
     * time to report again what they had told an earlier incarnation.
     *
     * @param nowNanos monotonic time
     */
    public static CrashAnalysis create(long nowNanos) {
        return new CrashAnalysis(nowNanos, EnumSet.allOf(Rule.class));
    }

    static CrashAnalysis without(long nowNanos, Rule rule) {
        return new CrashAnalysis(nowNanos, EnumSet.complementOf(EnumSet.of(rule)));
    }

    /** Returns the decisions. */
    public VerdictTable verdicts() {
        return mVerdicts;
    }

    /**
     * Sets the pause between two exchanges of a gateway with a controller, which depends on the
     * number of gateways. Gateways report without this pause, but hear only then what is watched.
     *
     * @param nanos the pause
     */
    public void setExchangePeriod(long nanos) {
        mExchangeNanos = nanos;
    }

    /**
     * Records a request that a server cut or a connection that it refused. A report that arrives
     * twice counts once.
     *
     * @param nowNanos monotonic time
     * @param cut what the gateway saw
     * @param atNanos monotonic time at which it did
     */
    public void recordCut(long nowNanos, Cut cut, long atNanos) {
        Crash crash = findCrash(cut, atNanos);
        if (crash != null) {
            crash.add(cut);
            return;
        }
        if (cut.isRefusedConnection()) {
            return;
        }
        Crash added = new Crash(cut, atNanos, nowNanos);
        added.add(cut);
        mCrashes.add(added);
        if (mCrashes.size() > MAX_CRASHES) {
            mCrashes.remove();
        }
    }

    /**
     * Returns the crash that a cut belongs to, or null. A server that cuts a request later has not
     * ended before.
     */
    private @Nullable Crash findCrash(Cut cut, long atNanos) {
        Crash found = null;
        for (Crash crash : mCrashes) {
            if (!crash.isSameIncarnation(cut)) {
                continue;
            }
            if (crash.isNear(atNanos) || cut.isRefusedConnection()) {
                found = crash;
            } else if (cut.startMillis() != 0) {
                crash.markRunning();
            }
        }
        return found;
    }

    /**
     * Records that a server has begun an answer on a part.
     *
     * @param part name of the part
     * @param atNanos monotonic time
     */
    public void recordAnswer(String part, long atNanos) {
        mAnsweredNanos.merge(part, atNanos, (a, b) -> a - b > 0 ? a : b);
    }

    /**
     * Decides anew.
     *
     * @param nowNanos monotonic time
     * @param activity tells which servers still run
     * @return the decisions that were made, empty if nothing changed
     */
    public List<Verdict> evaluate(long nowNanos, ServerActivity activity) {
        mVerdicts.expire(nowNanos);
        mCrashes.removeIf(crash -> nowNanos - crash.atNanos() > WINDOW_NANOS);
        mAnsweredNanos.values().removeIf(atNanos -> nowNanos - atNanos > WINDOW_NANOS);
        for (Crash crash : mCrashes) {
            long sinceNanos = crash.atNanos() + HEARTBEAT_DELAY_NANOS;
            if (activity.hasHeartbeatSince(crash.server(), crash.startMillis(), sinceNanos)) {
                crash.markRunning();
            }
        }
        List<Crash> confirmed = new ArrayList<>();
        for (Crash crash : mCrashes) {
            if (crash.isConfirmed()) {
                confirmed.add(crash);
            }
        }
        confirmed.sort(Comparator.comparingLong(Crash::atNanos));
        List<Verdict> made = new ArrayList<>();
        lift(nowNanos, confirmed, made);
        renew(nowNanos, confirmed, made);
        accuse(nowNanos, confirmed, made);
        accuseRequests(nowNanos, confirmed, made);
        Set<String> watched = watchedParts();
        mWatchedSinceNanos.keySet().retainAll(watched);
        watched.forEach(part -> mWatchedSinceNanos.putIfAbsent(part, nowNanos));
        return made;
    }

    /** Lifts the decisions that later evidence contradicts. */
    private void lift(long nowNanos, List<Crash> confirmed, List<Verdict> made) {
        for (Verdict verdict : mVerdicts.all()) {
            if (!verdict.reason().holds()) {
                continue;
            }
            Long answeredNanos = mAnsweredNanos.get(verdict.part());
            if (isAcquitting(answeredNanos, newestCrashNanos(verdict.part(), confirmed))) {
                add(verdict.lifted(nowNanos, Verdict.Reason.ANSWERED), made);
            } else if (isAccountedForByOther(nowNanos, verdict, confirmed)) {
                add(verdict.lifted(nowNanos, Verdict.Reason.OTHER_PART), made);
            }
        }
    }

    private static @Nullable Long newestCrashNanos(String part, List<Crash> confirmed) {
        Long newest = null;
        for (Crash crash : confirmed) {
            if (crash.contains(part)) {
                newest = crash.atNanos();
            }
        }
        return newest;
    }

    private boolean isAcquitting(@Nullable Long answeredNanos, @Nullable Long crashNanos) {
        return mRules.contains(Rule.ANSWER_ACQUITS)
                && answeredNanos != null
                && (crashNanos == null || answeredNanos - crashNanos > 0);
    }

    /**
     * Returns whether other parts that are held back account for all crashes of a part. Those parts
     * must be in further crashes too, or the evidence would not tell them from this part.
     */
    private boolean isAccountedForByOther(long nowNanos, Verdict verdict, List<Crash> confirmed) {
        List<Crash> unexplained = new ArrayList<>(crashesWith(verdict.part(), confirmed));
        boolean isKnown = isComplete(nowNanos) && unexplained.size() >= verdict.crashes();
        if (unexplained.isEmpty() || !isKnown || !verdict.isInForce(nowNanos)) {
            return false;
        }
        for (Verdict other : mVerdicts.allInForce(nowNanos)) {
            List<Crash> others = crashesWith(other.part(), confirmed);
            if (!crashesWith(verdict.part(), others).containsAll(others)) {
                unexplained.removeAll(others);
            }
        }
        return unexplained.isEmpty();
    }

    private static List<Crash> crashesWith(String part, List<Crash> crashes) {
        return crashes.stream().filter(crash -> crash.contains(part)).toList();
    }

    /** Holds parts back again that have crashed a server after their decision had ended. */
    private void renew(long nowNanos, List<Crash> confirmed, List<Verdict> made) {
        for (Verdict verdict : mVerdicts.all()) {
            if (!verdict.reason().holds() || verdict.isInForce(nowNanos)) {
                continue;
            }
            for (Crash crash : confirmed) {
                boolean later = crash.atNanos() - verdict.untilNanos() > 0;
                if (later && accuses(crash, verdict.part())) {
                    add(hold(nowNanos, verdict.part(), Verdict.Reason.CRASHED_AGAIN, 1), made);
                    break;
                }
            }
        }
    }

    /** Holds back the parts that account for the crashes that no other part accounts for. */
    private void accuse(long nowNanos, List<Crash> confirmed, List<Verdict> made) {
        if (!isComplete(nowNanos)) {
            return;
        }
        List<Crash> open = withoutExplained(confirmed);
        Suspect suspect = strongestSuspect(nowNanos, open);
        while (suspect != null) {
            add(hold(nowNanos, suspect.part(), Verdict.Reason.CRASHES, suspect.crashes()), made);
            open = withoutExplained(confirmed);
            suspect = strongestSuspect(nowNanos, open);
        }
    }

    /**
     * Holds back requests that were cut without an answer in crashes of several servers. Only such
     * a request and its repetitions contain its own part, so that it takes part in each crash by
     * itself, and no share of the crashes is asked for. It does not account for a crash, or one of
     * its shared parts would be found later.
     */
    private void accuseRequests(long nowNanos, List<Crash> confirmed, List<Verdict> made) {
        if (!isComplete(nowNanos)) {
            return;
        }
        Map<String, Integer> crashes = new HashMap<>();
        for (Crash crash : confirmed) {
            if (mRules.contains(Rule.WAITS_FOR_REPORTS)
                    && nowNanos - crash.knownSinceNanos() < reportNanos()) {
                continue;
            }
            for (String part : crash.ownParts()) {
                if (accuses(crash, part)) {
                    crashes.merge(part, 1, Integer::sum);
                }
            }
        }
        crashes.forEach(
                (part, count) -> {
                    Verdict verdict = mVerdicts.find(part);
                    boolean isHeld = verdict != null && verdict.reason().holds();
                    if (!isHeld && count >= MIN_CRASHES) {
                        add(hold(nowNanos, part, Verdict.Reason.CRASHES, count), made);
                    }
                });
    }

    /** Returns the longest time until the other requests that a crash cut were reported. */
    private long reportNanos() {
        return Math.min(mExchangeNanos, MAX_REPORT_NANOS);
    }

    /** Returns whether the gateways have had the time to repeat what they have kept. */
    private boolean isComplete(long nowNanos) {
        return !mRules.contains(Rule.WAITS_FOR_REPORTS)
                || nowNanos - mStartNanos >= EXCHANGES_AFTER_START * mExchangeNanos;
    }

    /** Returns the crashes that no part accounts for that is held back or was. */
    private List<Crash> withoutExplained(List<Crash> confirmed) {
        if (!mRules.contains(Rule.ONE_PART_PER_CRASH)) {
            return confirmed;
        }
        List<Crash> open = new ArrayList<>();
        for (Crash crash : confirmed) {
            if (!isExplained(crash)) {
                open.add(crash);
            }
        }
        return open;
    }

    private boolean isExplained(Crash crash) {
        for (String part : crash.parts().keySet()) {
            Verdict verdict = mVerdicts.find(part);
            if (verdict != null && verdict.reason().holds() && accuses(crash, part)) {
                return true;
            }
        }
        return false;
    }

    /** Returns whether a crash speaks against a part: no server has answered on it since. */
    private boolean accuses(Crash crash, String part) {
        return crash.contains(part)
                && !isAcquitting(mAnsweredNanos.get(part), crash.atNanos())
                && !isLiftedSince(part, crash.atNanos());
    }

    private boolean isLiftedSince(String part, long atNanos) {
        Verdict verdict = mVerdicts.find(part);
        return verdict != null && !verdict.reason().holds() && verdict.decidedNanos() - atNanos > 0;
    }

    /** Returns the crashes that speak against a part, those that others account for included. */
    private int allCrashes(String part) {
        int count = 0;
        for (Crash crash : mCrashes) {
            if (crash.isConfirmed() && accuses(crash, part)) {
                count++;
            }
        }
        return count;
    }

    /** Returns the part that most crashes speak against if they are enough, or null. */
    private @Nullable Suspect strongestSuspect(long nowNanos, List<Crash> open) {
        Map<String, Integer> crashes = new HashMap<>();
        Map<String, Double> weights = new HashMap<>();
        Map<String, Integer> positions = new HashMap<>();
        Map<String, Long> countedNanos = new HashMap<>();
        for (Crash crash : open) {
            for (Map.Entry<String, Integer> entry : crash.parts().entrySet()) {
                String part = entry.getKey();
                Long lastNanos = countedNanos.get(part);
                boolean counts =
                        isSettled(nowNanos, part, crash)
                                && accuses(crash, part)
                                && isApart(lastNanos, crash.atNanos());
                if (!counts) {
                    continue;
                }
                countedNanos.put(part, crash.atNanos());
                crashes.merge(part, 1, Integer::sum);
                weights.merge(part, crash.hasManyWaiting() ? CROWDED_WEIGHT : 1, Double::sum);
                positions.merge(part, entry.getValue(), Math::max);
            }
        }
        Suspect strongest = null;
        for (Map.Entry<String, Integer> entry : crashes.entrySet()) {
            String part = entry.getKey();
            Verdict verdict = mVerdicts.find(part);
            boolean isHeld = verdict != null && verdict.reason().holds();
            Suspect suspect =
                    new Suspect(
                            part,
                            entry.getValue(),
                            weights.get(part),
                            allCrashes(part),
                            mAnsweredNanos.containsKey(part),
                            positions.get(part));
            // A part that servers have answered on until now needs more evidence.
            int enough = MIN_CRASHES + (suspect.answeredBefore() ? 1 : 0);
            if (!isHeld
                    && suspect.weight() >= enough
                    && isNotableShare(suspect, open)
                    && (strongest == null || STRENGTH.compare(suspect, strongest) > 0)) {
                strongest = suspect;
            }
        }
        return strongest;
    }

    /**
     * Returns whether what speaks for a part has been reported: the other requests that the crash
     * cut and, if servers used to answer on the part, answers since the crash. Gateways report
     * answers once they have been asked, and then one report later.
     */
    private boolean isSettled(long nowNanos, String part, Crash crash) {
        if (!mRules.contains(Rule.WAITS_FOR_REPORTS)) {
            return true;
        }
        long answersNanos = mExchangeNanos + reportNanos() + ANSWER_REPORT_NANOS;
        Long watchedNanos = mWatchedSinceNanos.get(part);
        boolean isAsked = watchedNanos != null && nowNanos - watchedNanos >= answersNanos;
        boolean isNew = isAsked && !mAnsweredNanos.containsKey(part);
        return nowNanos - crash.knownSinceNanos() >= (isNew ? reportNanos() : answersNanos);
    }

    /**
     * Returns whether a part is in enough of the crashes while it was under suspicion. Among many
     * crashes, some parts are in several by chance.
     */
    private boolean isNotableShare(Suspect suspect, List<Crash> open) {
        List<Crash> own = crashesWith(suspect.part(), open);
        long firstNanos = own.get(0).atNanos();
        long lastNanos = own.get(own.size() - 1).atNanos();
        int separate = 0;
        Long countedNanos = null;
        for (Crash crash : open) {
            boolean inSpan = crash.atNanos() >= firstNanos && crash.atNanos() <= lastNanos;
            if (inSpan && isApart(countedNanos, crash.atNanos())) {
                countedNanos = crash.atNanos();
                separate++;
            }
        }
        return suspect.crashes() >= SURE_CRASHES
                || suspect.crashes() * MIN_SHARE_DIVISOR >= separate;
    }

    private boolean isApart(@Nullable Long lastNanos, long atNanos) {
        return lastNanos == null
                || !mRules.contains(Rule.CRASHES_APART)
                || atNanos - lastNanos >= MIN_GAP_NANOS;
    }

    private Verdict hold(long nowNanos, String part, Verdict.Reason reason, int crashes) {
        Verdict earlier = mVerdicts.find(part);
        int holds = 1 + (earlier == null ? 0 : earlier.holds());
        int doublings = Math.min(HOLD_FACTOR_BITS * (holds - 1), Long.SIZE / 4);
        long holdNanos = Math.min(MAX_HOLD_NANOS, FIRST_HOLD_NANOS << doublings);
        return new Verdict(
                part,
                1 + (earlier == null ? 0 : earlier.sequence()),
                reason,
                crashes,
                holds,
                nowNanos,
                nowNanos + holdNanos);
    }

    private void add(Verdict verdict, List<Verdict> made) {
        if (mVerdicts.merge(verdict)) {
            made.add(verdict);
        }
    }

    /**
     * Lifts the decision about a part, as an operator orders.
     *
     * @param nowNanos monotonic time
     * @param part name of the part
     * @return the decision that lifts it, or null if the part is not held back
     */
    public @Nullable Verdict lift(long nowNanos, String part) {
        Verdict verdict = mVerdicts.find(part);
        if (verdict == null || !verdict.reason().holds()) {
            return null;
        }
        Verdict lifted = verdict.lifted(nowNanos, Verdict.Reason.OPERATOR);
        mVerdicts.merge(lifted);
        return lifted;
    }

    /**
     * Returns the parts about whose answers the gateways are asked: those that are under suspicion,
     * newest first, and those that are held back or were.
     */
    public Set<String> watchedParts() {
        Set<String> watched = new LinkedHashSet<>();
        for (Verdict verdict : mVerdicts.all()) {
            if (verdict.reason().holds() && watched.size() < MAX_WATCHED_PARTS) {
                watched.add(verdict.part());
            }
        }
        for (var newest = mCrashes.descendingIterator(); newest.hasNext(); ) {
            Crash crash = newest.next();
            if (crash.isServerRunning() || isExplained(crash)) {
                continue;
            }
            for (String part : crash.parts().keySet()) {
                if (watched.size() < MAX_WATCHED_PARTS && accuses(crash, part)) {
                    watched.add(part);
                }
            }
        }
        watchOwnParts(watched);
        return new HashSet<>(watched);
    }

    /** Adds the own parts of requests that were cut in crashes, newest first. */
    private void watchOwnParts(Set<String> watched) {
        int most = watched.size() + MAX_WATCHED_REQUESTS;
        for (var newest = mCrashes.descendingIterator(); newest.hasNext(); ) {
            Crash crash = newest.next();
            if (crash.isServerRunning()) {
                continue;
            }
            for (String part : crash.ownParts()) {
                if (watched.size() < most && accuses(crash, part)) {
                    watched.add(part);
                }
            }
        }
    }
}
