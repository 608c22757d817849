package org.hemlockrack.daemon.gateway;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.quarantine.CrashAnalysis;
import org.hemlockrack.quarantine.Cut;
import org.hemlockrack.quarantine.PromptParts;
import org.hemlockrack.quarantine.Verdict;
import org.hemlockrack.quarantine.VerdictTable;
import org.hemlockrack.wire.CrashEvidenceData;
import org.hemlockrack.wire.CutData;
import org.hemlockrack.wire.QuarantineData;
import org.hemlockrack.wire.VerdictData;
import org.jspecify.annotations.Nullable;

/**
 * Reports to the controllers which requests servers have cut, and holds back the requests whose
 * prompts contain a part that the controllers have found to crash servers. Thread-safe.
 */
final class GatewayQuarantine {
    /** Evidence that is retained for controllers that restart or are out of reach for a time. */
    private static final int MAX_EVIDENCE = 1_024;

    /** Parts whose newest answer is remembered. */
    private static final int MAX_ANSWERED_PARTS = 4_096;

    /** Time for which an answer on a part shows that the part is sound. */
    private static final long ANSWER_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(1);

    private final DecisionLog mLog;
    private final VerdictTable mVerdicts = VerdictTable.create();
    private final PagedLog<Evidence> mEvidence = PagedLog.of(MAX_EVIDENCE);
    private final Set<GatewayExchange> mOpenExchanges = ConcurrentHashMap.newKeySet();
    private final Map<String, Long> mReportedNanos = new LinkedHashMap<>();
    private final Map<String, Set<String>> mWatchedByController = new LinkedHashMap<>();
    private Set<String> mWatched = Set.of();
    private volatile Runnable mOnEvidence = () -> {};

    private final Map<String, Long> mAnsweredNanos =
            new LinkedHashMap<>(16, 0.75f, true) {
                @Override
                protected boolean removeEldestEntry(Map.Entry<String, Long> eldest) {
                    return size() > MAX_ANSWERED_PARTS;
                }
            };

    /** A cut or the name of a part on which a server has begun an answer. */
    private record Evidence(long atNanos, @Nullable Cut cut, @Nullable String answeredPart) {
        CrashEvidenceData toData(long nowNanos) {
            CrashEvidenceData data = new CrashEvidenceData();
            data.setAgeMillis(TimeUnit.NANOSECONDS.toMillis(nowNanos - atNanos));
            data.setAnsweredPart(answeredPart);
            if (cut != null) {
                CutData cutData =
                        new CutData(
                                cut.server().value(),
                                cut.startMillis(),
                                cut.attemptHash(),
                                cut.parts());
                cutData.setOwnPart(cut.ownPart());
                data.setCut(cutData);
            }
            return data;
        }
    }

    private GatewayQuarantine(DecisionLog log) {
        mLog = log;
    }

    static GatewayQuarantine create(DecisionLog log) {
        return new GatewayQuarantine(log);
    }

    /** Sets what is called when there is something to report. */
    void onEvidence(Runnable action) {
        mOnEvidence = action;
    }

    /** Adds a request that ends if one of its parts is held back before its answer has begun. */
    void addExchange(GatewayExchange exchange) {
        mOpenExchanges.add(exchange);
    }

    void removeExchange(GatewayExchange exchange) {
        mOpenExchanges.remove(exchange);
    }

    /** Returns the decision that holds back a request with these parts, or null. */
    synchronized @Nullable Verdict inForce(long nowNanos, List<String> parts) {
        return mVerdicts.inForce(nowNanos, parts);
    }

    /** Returns the number of parts that are held back. */
    synchronized int heldParts() {
        return mVerdicts.allInForce(System.nanoTime()).size();
    }

    /**
     * Returns whether a request that a server has cut may crash the next one: a part of it was in
     * the requests of a crash, and no answer on it has begun here lately.
     */
    synchronized boolean isSuspicious(long nowNanos, List<String> parts) {
        for (String part : parts) {
            Long answeredNanos = mAnsweredNanos.get(part);
            boolean answered =
                    answeredNanos != null && nowNanos - answeredNanos < ANSWER_LIFETIME_NANOS;
            if (!answered && mWatched.contains(part)) {
                return true;
            }
        }
        return false;
    }

    synchronized void recordCut(long nowNanos, Cut cut) {
        mEvidence.add(new Evidence(nowNanos, cut, null));
        mOnEvidence.run();
    }

    /**
     * Records that a server has begun an answer on a prompt.
     *
     * @param parts its parts; the own part is remembered only if it is watched, as each request has
     *     another one
     */
    synchronized void recordAnswer(long nowNanos, PromptParts parts) {
        for (String part : parts.shared()) {
            recordAnswer(nowNanos, part);
        }
        if (parts.own() != null && mWatched.contains(parts.own())) {
            recordAnswer(nowNanos, parts.own());
        }
    }

    private void recordAnswer(long nowNanos, String part) {
        mAnsweredNanos.put(part, nowNanos);
        if (mWatched.contains(part)) {
            reportAnswer(nowNanos, part, nowNanos);
        }
    }

    private void reportAnswer(long nowNanos, String part, long answeredNanos) {
        Long reportedNanos = mReportedNanos.get(part);
        if (reportedNanos != null && nowNanos - reportedNanos < CrashAnalysis.ANSWER_REPORT_NANOS) {
            return;
        }
        mReportedNanos.put(part, nowNanos);
        mEvidence.add(new Evidence(answeredNanos, null, part));
        mOnEvidence.run();
    }

    /** Returns the evidence from a position on, with its age. */
    synchronized PagedLog.Page<CrashEvidenceData> evidenceSince(
            long nowNanos, long position, int maxEntries) {
        PagedLog.Page<Evidence> page = mEvidence.readFrom(position, maxEntries);
        return new PagedLog.Page<>(
                page.entries().stream().map(each -> each.toData(nowNanos)).toList(), page.next());
    }

    /** Returns all decisions, for a controller that may have lost them. */
    synchronized List<VerdictData> verdicts(long nowNanos) {
        return mVerdicts.all().stream().map(each -> each.toData(nowNanos)).toList();
    }

    /** Adopts the decisions of a controller, and the parts that it asks about. */
    void adopt(long nowNanos, String controller, QuarantineData data) {
        List<Verdict> held = new ArrayList<>();
        synchronized (this) {
            for (VerdictData each : data.getVerdicts()) {
                Verdict verdict = Verdict.of(each, nowNanos);
                if (verdict == null || !mVerdicts.merge(verdict)) {
                    continue;
                }
                logVerdict(nowNanos, controller, verdict);
                if (verdict.isInForce(nowNanos)) {
                    held.add(verdict);
                }
            }
            mWatchedByController.put(controller, Set.copyOf(data.getWatchedParts()));
            updateWatched(nowNanos);
        }
        if (held.isEmpty()) {
            return;
        }
        for (GatewayExchange exchange : mOpenExchanges) {
            for (Verdict verdict : held) {
                if (exchange.partNames().contains(verdict.part())) {
                    exchange.onPartHeld(verdict);
                }
            }
        }
    }

    /** Forgets the parts that an unreachable controller asks about. */
    synchronized void forget(long nowNanos, String controller) {
        if (mWatchedByController.remove(controller) != null) {
            updateWatched(nowNanos);
        }
    }

    private void updateWatched(long nowNanos) {
        Set<String> watched = new HashSet<>();
        mWatchedByController.values().forEach(watched::addAll);
        Set<String> before = mWatched;
        mWatched = watched;
        mReportedNanos.keySet().retainAll(watched);
        for (String part : watched) {
            Long answeredNanos = mAnsweredNanos.get(part);
            if (answeredNanos != null && !before.contains(part)) {
                reportAnswer(nowNanos, part, answeredNanos);
            }
        }
    }

    private void logVerdict(long nowNanos, String controller, Verdict verdict) {
        mLog.instanceEvent(verdict.reason().holds() ? "part_held" : "part_lifted")
                .put("part", verdict.part())
                .put("reason", verdict.reason().name())
                .put("crashes", verdict.crashes())
                .put("holds", verdict.holds())
                .put("for_ms", verdict.remainingMillis(nowNanos))
                .put("controller", controller)
                .write();
    }
}
