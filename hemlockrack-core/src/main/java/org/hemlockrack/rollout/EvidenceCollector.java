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
 * Compares the versions of running roll-outs on what this instance sees. On a fault it closes the
 * gate within the same call and reports the fault; otherwise it reports evidence at fixed times.
 */
public final class EvidenceCollector implements Decider<EvidenceEvent, EvidenceOutput> {
    private final InstanceId mInstance;
    private final long mIncarnation;
    private final RolloutSettings mSettings;
    private final LocalTrafficSplit mGate;
    private final Map<Long, LocalEvidence> mEvidence = new LinkedHashMap<>();
    private long mSequence;

    private EvidenceCollector(
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            LocalTrafficSplit gate) {
        mInstance = instance;
        mIncarnation = incarnation;
        mSettings = settings;
        mGate = gate;
    }

    /**
     * Creates a collector.
     *
     * @param instance this instance
     * @param incarnation incarnation of its process; rises with each start
     * @param settings settings
     * @param gate the gate that it closes; it passes learned roll-outs on to it
     * @return the collector
     */
    public static EvidenceCollector of(
            InstanceId instance,
            long incarnation,
            RolloutSettings settings,
            LocalTrafficSplit gate) {
        return new EvidenceCollector(instance, incarnation, settings, gate);
    }

    @Override
    public void onEvent(long nowNanos, EvidenceEvent event, Consumer<? super EvidenceOutput> out) {
        if (event instanceof EvidenceEvent.RolloutsLearned learned) {
            learn(nowNanos, learned, out);
        } else if (event instanceof EvidenceEvent.RequestAnswered answered) {
            LocalEvidence evidence = find(answered.service(), answered.version());
            if (evidence != null) {
                evidence.answered(nowNanos, answered);
                judge(nowNanos, evidence, answered.version(), out);
            }
        } else if (event instanceof EvidenceEvent.RequestFailed failed) {
            LocalEvidence evidence = find(failed.service(), failed.version());
            if (evidence != null) {
                evidence.failed(nowNanos, failed);
                judge(nowNanos, evidence, failed.version(), out);
            }
        } else if (event instanceof EvidenceEvent.ReportEnded ended) {
            mEvidence.values().forEach(evidence -> evidence.reportEnded(ended.requestId()));
        }
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super EvidenceOutput> out) {
        for (LocalEvidence evidence : mEvidence.values()) {
            send(nowNanos, evidence, out);
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

    private void learn(
            long nowNanos,
            EvidenceEvent.RolloutsLearned learned,
            Consumer<? super EvidenceOutput> out) {
        mGate.apply(learned.rollouts());
        for (Rollout each : learned.rollouts()) {
            Rollout rollout = mGate.rollout(each.service(), each.to().model());
            if (rollout == null || !rollout.isRunning()) {
                continue;
            }
            LocalEvidence evidence = mEvidence.get(rollout.id());
            if (evidence == null) {
                mEvidence.put(
                        rollout.id(),
                        LocalEvidence.of(rollout, mInstance, mIncarnation, mSettings, nowNanos));
            } else if (evidence.rollout().stage() != rollout.stage()) {
                evidence.flush();
                send(nowNanos, evidence, out);
                evidence.moveTo(rollout);
            }
        }
        Iterator<LocalEvidence> each = mEvidence.values().iterator();
        while (each.hasNext()) {
            Rollout old = each.next().rollout();
            Rollout now = mGate.rollout(old.service(), old.to().model());
            if (now == null || now.id() != old.id() || !now.isRunning()) {
                each.remove();
            }
        }
    }

    private @Nullable LocalEvidence find(ServiceId service, ModelVersion version) {
        Rollout rollout = mGate.rollout(service, version.model());
        if (rollout == null || !(version.equals(rollout.to()) || version.equals(rollout.from()))) {
            return null;
        }
        return mEvidence.get(rollout.id());
    }

    private void judge(
            long nowNanos,
            LocalEvidence evidence,
            ModelVersion version,
            Consumer<? super EvidenceOutput> out) {
        Rollout rollout = evidence.rollout();
        if (version.equals(rollout.to()) && !mGate.stopped(rollout.id())) {
            Optional<Finding> finding = evidence.judge();
            if (finding.isPresent()) {
                mGate.stop(rollout.id());
                evidence.stop(finding.get());
                out.accept(new EvidenceOutput.LocallyStopped(rollout, finding.get()));
            }
        }
        send(nowNanos, evidence, out);
    }

    private void send(long nowNanos, LocalEvidence evidence, Consumer<? super EvidenceOutput> out) {
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
        out.accept(new EvidenceOutput.ProposeReport(command.get(), evidence.urgent()));
    }
}
