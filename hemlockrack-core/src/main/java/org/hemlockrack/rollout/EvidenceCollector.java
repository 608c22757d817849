package org.hemlockrack.rollout;

import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.rollout.internal.LocalEvidence;
import org.jspecify.annotations.Nullable;

/**
 * Collects request statistics of running roll-outs on this instance and tests the new version
 * against the old one. When they show a fault, the collector stops the traffic of this instance to
 * the new version within the same call and reports the fault. Otherwise it reports the statistics
 * to the replicated log at a fixed interval.
 */
public final class EvidenceCollector implements Decider<EvidenceEvent, EvidenceOutput> {
    private final InstanceId mInstance;
    private final long mIncarnation;
    private final RolloutSettings mSettings;
    private final LocalTrafficSplit mTrafficSplit;
    private final Map<Long, LocalEvidence> mEvidence = new LinkedHashMap<>();
    private long mSequence;

    private EvidenceCollector(
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            LocalTrafficSplit trafficSplit) {
        mInstance = instance;
        mIncarnation = incarnation;
        mSettings = settings;
        mTrafficSplit = trafficSplit;
    }

    /**
     * Creates a collector.
     *
     * @param instance this instance
     * @param incarnation incarnation of its process; increases with each start
     * @param settings settings
     * @param trafficSplit the traffic split of this instance; the collector applies the roll-out
     *     states to it and stops faulty versions
     * @return the collector
     */
    public static EvidenceCollector of(
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            LocalTrafficSplit trafficSplit) {
        return new EvidenceCollector(instance, incarnation, settings, trafficSplit);
    }

    @Override
    public void onEvent(long nowNanos, EvidenceEvent event, Consumer<? super EvidenceOutput> out) {
        if (event instanceof EvidenceEvent.RolloutsLearned learned) {
            applyRollouts(nowNanos, learned, out);
        } else if (event instanceof EvidenceEvent.RequestAnswered answered) {
            LocalEvidence evidence = findEvidence(answered.service(), answered.version());
            if (evidence != null) {
                evidence.recordAnswer(nowNanos, answered);
                checkForFault(nowNanos, evidence, answered.version(), out);
            }
        } else if (event instanceof EvidenceEvent.RequestFailed failed) {
            LocalEvidence evidence = findEvidence(failed.service(), failed.version());
            if (evidence != null) {
                evidence.recordFailure(nowNanos, failed);
                checkForFault(nowNanos, evidence, failed.version(), out);
            }
        } else if (event instanceof EvidenceEvent.ReportEnded ended) {
            mEvidence.values().forEach(evidence -> evidence.onReportEnded(ended.requestId()));
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super EvidenceOutput> out) {
        for (LocalEvidence evidence : mEvidence.values()) {
            proposeDueReport(nowNanos, evidence, out);
        }
    }

    @Override
    public long nextTimerNanos() {
        long next = NO_TIMER;
        for (LocalEvidence evidence : mEvidence.values()) {
            next = Math.min(next, evidence.nextReportNanos());
        }
        return next;
    }

    /**
     * Applies roll-out states: starts collecting for new roll-outs, changes stages and ends those
     * that no longer run.
     */
    private void applyRollouts(
            long nowNanos,
            EvidenceEvent.RolloutsLearned learned,
            Consumer<? super EvidenceOutput> out) {
        mTrafficSplit.apply(learned.rollouts());
        for (Rollout each : learned.rollouts()) {
            Rollout rollout = mTrafficSplit.rollout(each.service(), each.to().model());
            if (rollout == null || !rollout.isRunning()) {
                continue;
            }
            LocalEvidence evidence = mEvidence.get(rollout.id());
            if (evidence == null) {
                mEvidence.put(
                        rollout.id(),
                        LocalEvidence.of(rollout, mInstance, mIncarnation, mSettings, nowNanos));
            } else if (evidence.rollout().stage() != rollout.stage()) {
                evidence.requestReport();
                proposeDueReport(nowNanos, evidence, out);
                evidence.enterStage(rollout);
            }
        }
        Iterator<LocalEvidence> iterator = mEvidence.values().iterator();
        while (iterator.hasNext()) {
            Rollout known = iterator.next().rollout();
            Rollout current = mTrafficSplit.rollout(known.service(), known.to().model());
            if (current == null || current.id() != known.id() || !current.isRunning()) {
                iterator.remove();
            }
        }
    }

    private @Nullable LocalEvidence findEvidence(ServiceId service, ModelVersion version) {
        Rollout rollout = mTrafficSplit.rollout(service, version.model());
        if (rollout == null || !(version.equals(rollout.to()) || version.equals(rollout.from()))) {
            return null;
        }
        return mEvidence.get(rollout.id());
    }

    /** Stops the new version on this instance if its statistics show a fault. */
    private void checkForFault(
            long nowNanos,
            LocalEvidence evidence,
            ModelVersion version,
            Consumer<? super EvidenceOutput> out) {
        Rollout rollout = evidence.rollout();
        if (version.equals(rollout.to()) && !mTrafficSplit.isStopped(rollout.id())) {
            Optional<DetectedFault> fault = evidence.detectFault();
            if (fault.isPresent()) {
                mTrafficSplit.stop(rollout.id());
                evidence.startReportingFault(fault.get());
                out.accept(new EvidenceOutput.LocallyStopped(rollout, fault.get()));
            }
        }
        proposeDueReport(nowNanos, evidence, out);
    }

    private void proposeDueReport(
            long nowNanos, LocalEvidence evidence, Consumer<? super EvidenceOutput> out) {
        if (nowNanos < evidence.nextReportNanos()) {
            return;
        }
        Optional<RolloutCommand> command = evidence.nextReport(nowNanos, mSequence + 1);
        if (command.isEmpty()) {
            return;
        }
        if (command.get() instanceof RolloutCommand.ReportEvidence report) {
            mSequence = Math.max(mSequence, report.report().sequence());
        }
        out.accept(new EvidenceOutput.ProposeReport(command.get(), evidence.isUrgent()));
    }
}
