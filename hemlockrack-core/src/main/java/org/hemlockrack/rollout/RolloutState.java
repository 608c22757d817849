package org.hemlockrack.rollout;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.rollout.internal.FleetEvidence;
import org.hemlockrack.rollout.internal.ResultCache;
import org.hemlockrack.rollout.internal.RolloutCodec;
import org.hemlockrack.wire.RolloutEvidenceData;
import org.hemlockrack.wire.RolloutRememberedData;
import org.hemlockrack.wire.RolloutSnapshotData;
import org.jspecify.annotations.Nullable;

/**
 * Replicated state of all roll-outs. At most one roll-out of a service and model runs at a time. A
 * retry with the same request id returns the first result. Only the controller with the highest
 * authority number can advance, complete or roll back a roll-out; this state assigns the numbers.
 */
public final class RolloutState implements ReplicatedState {
    /**
     * Bounds the memory for request statistics; more than the number of models at the projected
     * fleet size.
     */
    private static final int MAX_KEYS = 64;

    private static final int MAX_HISTORY = 200;

    /** Sufficient for the statistics of all running roll-outs with all cells and buckets in use. */
    private static final int MAX_SNAPSHOT_BYTES = 128 << 20;

    private final Map<RolloutKey, Rollout> mCurrent = new LinkedHashMap<>();
    private final Map<Long, FleetEvidence> mEvidence = new LinkedHashMap<>();
    private final Deque<Rollout> mHistory = new ArrayDeque<>();
    private ResultCache mResults = ResultCache.create();
    private long mTimeMillis;
    private long mAuthority;

    private RolloutState() {}

    /** Creates a state without roll-outs. */
    public static RolloutState create() {
        return new RolloutState();
    }

    /** Returns the running or last ended roll-out of each service and model. */
    public List<Rollout> current() {
        return List.copyOf(mCurrent.values());
    }

    /** Returns the ended roll-outs, oldest first, at most 200. */
    public List<Rollout> history() {
        return List.copyOf(mHistory);
    }

    /** Returns the highest authority number so far; 0 before the first. */
    public long authority() {
        return mAuthority;
    }

    /** Returns the leader time of the last command. */
    public long timeMillis() {
        return mTimeMillis;
    }

    /**
     * Finds a roll-out.
     *
     * @param id id of the roll-out
     * @return the roll-out if it runs or is the last one of its service and model
     */
    public Optional<Rollout> find(long id) {
        return mCurrent.values().stream().filter(each -> each.id() == id).findFirst();
    }

    /**
     * Returns the request statistics of a running roll-out; the caller must not change them.
     *
     * @param id id of the roll-out
     * @return the statistics, empty unless the roll-out is running
     */
    public Optional<FleetEvidence> evidence(long id) {
        return Optional.ofNullable(mEvidence.get(id));
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        mTimeMillis = Math.max(mTimeMillis, leaderTimeMillis);
        RolloutCommand decoded;
        try {
            decoded = RolloutCodec.decodeCommand(command);
        } catch (HemlockrackException e) {
            return RolloutCodec.encodeResult(
                    refused(RolloutOutcome.MALFORMED, 0, String.valueOf(e.getMessage())));
        }
        if (decoded instanceof RolloutCommand.ReportEvidence evidence) {
            return RolloutCodec.encodeResult(addReport(evidence.report()));
        }
        return RolloutCodec.encodeResult(
                applyOnce(index, decoded, Hashing.sha256().hashBytes(command)));
    }

    @Override
    public byte[] snapshot() {
        List<RolloutEvidenceData> evidence = new ArrayList<>();
        mEvidence.forEach((id, each) -> evidence.add(each.toData(id)));
        List<RolloutRememberedData> results = new ArrayList<>();
        for (ResultCache.Entry entry : mResults.entries()) {
            results.add(
                    new RolloutRememberedData()
                            .setRequestId(entry.requestId())
                            .setCommandHash(entry.commandHash().asBytes())
                            .setResult(RolloutCodec.toData(entry.result())));
        }
        return StructCodec.encode(
                new RolloutSnapshotData(
                        mTimeMillis,
                        mAuthority,
                        RolloutCodec.toData(mCurrent.values()),
                        RolloutCodec.toData(mHistory),
                        evidence,
                        results));
    }

    /**
     * Replaces the whole state.
     *
     * @param snapshot bytes from {@link #snapshot}
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are malformed; in
     *     this case the state does not change
     */
    @Override
    public void restore(byte[] snapshot) {
        RolloutSnapshotData data =
                StructCodec.decode(snapshot, MAX_SNAPSHOT_BYTES, new RolloutSnapshotData());
        List<Rollout> current =
                RolloutCodec.fromData(StructCodec.require("current", data.getCurrent()));
        List<Rollout> history =
                RolloutCodec.fromData(StructCodec.require("history", data.getHistory()));
        Map<Long, FleetEvidence> evidence = new LinkedHashMap<>();
        for (RolloutEvidenceData each : StructCodec.require("evidence", data.getEvidence())) {
            evidence.put(each.getRolloutId(), FleetEvidence.fromData(each));
        }
        requireMatchingEvidence(current, evidence.keySet());
        ResultCache results = ResultCache.create();
        for (RolloutRememberedData each : StructCodec.require("results", data.getResults())) {
            results.add(fromData(each));
        }
        mTimeMillis = data.getTimeMillis();
        mAuthority = data.getAuthority();
        mCurrent.clear();
        current.forEach(each -> mCurrent.put(each.key(), each));
        mHistory.clear();
        mHistory.addAll(history);
        mEvidence.clear();
        mEvidence.putAll(evidence);
        mResults = results;
    }

    private RolloutResult addReport(EvidenceReport report) {
        Optional<Rollout> rollout = find(report.rolloutId()).filter(Rollout::isRunning);
        FleetEvidence evidence = mEvidence.get(report.rolloutId());
        if (rollout.isEmpty() || evidence == null) {
            return notRunning(report.rolloutId());
        }
        long ageMillis = mTimeMillis - rollout.get().startedMillis();
        boolean added = evidence.add(report, rollout.get().stage(), ageMillis);
        return added
                ? accepted(report.rolloutId())
                : refused(RolloutOutcome.DUPLICATE, report.rolloutId(), "");
    }

    /** Applies a command, or returns the first result if its request id was used before. */
    private RolloutResult applyOnce(long index, RolloutCommand command, HashCode hash) {
        ResultCache.Entry stored = mResults.find(command.requestId());
        if (stored != null && stored.commandHash().equals(hash)) {
            return stored.result();
        }
        if (stored != null) {
            String text = String.format(ErrorText.REQUEST_ID_REUSED, command.requestId());
            return refused(RolloutOutcome.REQUEST_ID_REUSED, 0, text);
        }
        RolloutResult result = apply(index, command);
        mResults.add(new ResultCache.Entry(command.requestId(), hash, result));
        return result;
    }

    private RolloutResult apply(long index, RolloutCommand command) {
        if (command instanceof RolloutCommand.Start start) {
            return start(index, start);
        }
        if (command instanceof RolloutCommand.ReportFault fault) {
            return reportFault(fault);
        }
        if (command instanceof RolloutCommand.Stop stop) {
            return stop(index, stop);
        }
        if (command instanceof RolloutCommand.Advance advance) {
            return advance(index, advance);
        }
        if (command instanceof RolloutCommand.RollBack rollBack) {
            return endRollout(
                    index,
                    rollBack.authority(),
                    rollBack.rolloutId(),
                    RolloutStatus.ROLLED_BACK,
                    rollBack.reason(),
                    rollBack.detail());
        }
        if (command instanceof RolloutCommand.Complete complete) {
            return endRollout(
                    index,
                    complete.authority(),
                    complete.rolloutId(),
                    RolloutStatus.COMPLETED,
                    RolloutReason.NONE,
                    "");
        }
        return accepted(++mAuthority);
    }

    private RolloutResult start(long index, RolloutCommand.Start start) {
        if (start.from().equals(start.to())) {
            return refused(RolloutOutcome.INVALID, 0, ErrorText.ROLLOUT_SAME_VERSION);
        }
        if (start.deadlineMillis() <= mTimeMillis) {
            return refused(RolloutOutcome.INVALID, 0, ErrorText.ROLLOUT_DEADLINE_PAST);
        }
        RolloutKey key = new RolloutKey(start.service(), start.to().model());
        Rollout current = mCurrent.get(key);
        if (current != null && current.isRunning()) {
            String text =
                    String.format(ErrorText.ROLLOUT_RUNNING, current.id(), current.to().toString());
            return refused(RolloutOutcome.RUNNING_ALREADY, current.id(), text);
        }
        if (current == null && !evictEndedRollout()) {
            String text = String.format(ErrorText.ROLLOUT_FULL, MAX_KEYS);
            return refused(RolloutOutcome.FULL, 0, text);
        }
        mCurrent.remove(key);
        mCurrent.put(
                key,
                new Rollout(
                        index,
                        index,
                        start.service(),
                        start.from(),
                        start.to(),
                        start.deadlineMillis(),
                        start.firstShare(),
                        start.completeUnjudged(),
                        start.author(),
                        mTimeMillis,
                        0,
                        mTimeMillis,
                        RolloutStatus.RUNNING,
                        RolloutReason.NONE,
                        ""));
        mEvidence.put(index, FleetEvidence.create());
        return accepted(index);
    }

    private RolloutResult reportFault(RolloutCommand.ReportFault fault) {
        FleetEvidence evidence = mEvidence.get(fault.rolloutId());
        if (evidence == null) {
            return notRunning(fault.rolloutId());
        }
        evidence.reportFault(fault.fault());
        return accepted(fault.rolloutId());
    }

    private RolloutResult stop(long index, RolloutCommand.Stop stop) {
        Rollout current = mCurrent.get(new RolloutKey(stop.service(), stop.model()));
        if (current == null || !current.isRunning()) {
            String text = String.format(ErrorText.ROLLOUT_NOT_FOUND, stop.service(), stop.model());
            return refused(RolloutOutcome.NOT_RUNNING, 0, text);
        }
        String text = stop.detail().isEmpty() ? "stopped by " + stop.author() : stop.detail();
        storeEnded(current.withEnd(index, RolloutStatus.STOPPED, RolloutReason.OPERATOR, text));
        return accepted(current.id());
    }

    private RolloutResult advance(long index, RolloutCommand.Advance advance) {
        RolloutResult refusal = checkAuthority(advance.authority(), advance.rolloutId());
        if (refusal != null) {
            return refusal;
        }
        Rollout current = find(advance.rolloutId()).orElseThrow();
        if (current.stage() != advance.stage() || current.stage() == Stages.last()) {
            return refused(RolloutOutcome.STALE_STAGE, current.id(), "");
        }
        mCurrent.put(current.key(), current.withStage(index, mTimeMillis, current.stage() + 1));
        mEvidence.get(current.id()).table().startNextStage();
        return accepted(current.id());
    }

    private RolloutResult endRollout(
            long index,
            long authority,
            long rolloutId,
            RolloutStatus status,
            RolloutReason reason,
            String detail) {
        RolloutResult refusal = checkAuthority(authority, rolloutId);
        if (refusal != null) {
            return refusal;
        }
        storeEnded(find(rolloutId).orElseThrow().withEnd(index, status, reason, detail));
        return accepted(rolloutId);
    }

    /** Returns why a controller must not change a roll-out, or null if it may. */
    private @Nullable RolloutResult checkAuthority(long authority, long rolloutId) {
        if (authority != mAuthority) {
            String text = String.format(ErrorText.ROLLOUT_AUTHORITY, authority, mAuthority);
            return refused(RolloutOutcome.STALE_AUTHORITY, rolloutId, text);
        }
        return mEvidence.containsKey(rolloutId) ? null : notRunning(rolloutId);
    }

    /** Stores a roll-out that has ended and adds it to the history. */
    private void storeEnded(Rollout ended) {
        mEvidence.remove(ended.id());
        mCurrent.put(ended.key(), ended);
        mHistory.addLast(ended);
        if (mHistory.size() > MAX_HISTORY) {
            mHistory.removeFirst();
        }
    }

    /**
     * Makes room for a new key by removing the ended roll-out that was started first. Returns false
     * if there is no room because all roll-outs are running.
     */
    private boolean evictEndedRollout() {
        if (mCurrent.size() < MAX_KEYS) {
            return true;
        }
        for (Rollout each : mCurrent.values()) {
            if (!each.isRunning()) {
                mCurrent.remove(each.key());
                return true;
            }
        }
        return false;
    }

    private static RolloutResult notRunning(long id) {
        return refused(
                RolloutOutcome.NOT_RUNNING, id, String.format(ErrorText.ROLLOUT_NOT_RUNNING, id));
    }

    private static RolloutResult accepted(long number) {
        return new RolloutResult(RolloutOutcome.ACCEPTED, number, "");
    }

    private static RolloutResult refused(RolloutOutcome outcome, long number, String message) {
        return new RolloutResult(outcome, number, message);
    }

    /** Checks that a snapshot has statistics for exactly the running roll-outs. */
    private static void requireMatchingEvidence(List<Rollout> current, Set<Long> evidence) {
        Set<Long> running = new HashSet<>();
        for (Rollout rollout : current) {
            if (rollout.isRunning()) {
                running.add(rollout.id());
            }
        }
        if (!running.equals(evidence)) {
            throw malformed("evidence", "not that of the running roll-outs");
        }
    }

    private static ResultCache.Entry fromData(RolloutRememberedData data) {
        byte[] hash = StructCodec.require("command hash", data.getCommandHash());
        if (hash.length == 0) {
            throw malformed("command hash", "empty");
        }
        return new ResultCache.Entry(
                StructCodec.requireText("request id", data.getRequestId(), 200),
                HashCode.fromBytes(hash),
                RolloutCodec.fromData(data.getResult()));
    }

    private static HemlockrackException malformed(String what, String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST, String.format(ErrorText.STRUCT_MALFORMED, what, reason));
    }
}
