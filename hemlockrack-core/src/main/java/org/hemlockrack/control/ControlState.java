package org.hemlockrack.control;

import java.nio.ByteBuffer;
import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.duties.DutyState;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ControlCommandData;
import org.hemlockrack.wire.ControlCommandKind;
import org.hemlockrack.wire.ControlSnapshotData;
import org.hemlockrack.wire.DepartureData;

/**
 * The replicated state of the controllers. The route table with the highest version is in force; a
 * command with a lower version succeeds without effect, because it is already superseded.
 */
public final class ControlState implements ReplicatedState {
    /** Largest encoded command or snapshot; bounds what a replica allocates. */
    static final int MAX_ENCODED_BYTES = 16 << 20;

    /** Departures are dropped after this time; by then the incarnation sends nothing any more. */
    private static final long DEPARTURE_RETENTION_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final byte[] SUCCESS = {1};
    private static final byte[] REFUSED = {0};
    private static final byte[] SUPERSEDED = {2};

    private long mTableVersion;
    private byte[] mTableDocument = new byte[0];
    private RoutingOverrides mOverrides = RoutingOverrides.NONE;

    /** Log index of the newest order by subject; operators name few zones and services. */
    private final Map<String, Long> mOrderRevisions = new HashMap<>();

    private long mRevision;
    private DutyState mDuties = DutyState.EMPTY;

    private ControlState() {}

    /** Creates an empty state. */
    public static ControlState create() {
        return new ControlState();
    }

    /** Returns the version of the route table, 0 if none was published. */
    public long tableVersion() {
        return mTableVersion;
    }

    /** Returns the route table, deflated. */
    public byte[] tableDocument() {
        return mTableDocument.clone();
    }

    /** Returns the overrides that apply on top of the route table. */
    public RoutingOverrides overrides() {
        return mOverrides;
    }

    /** Returns the state of the duties that only the leading controller has. */
    public DutyState duties() {
        return mDuties;
    }

    /**
     * Returns the log index of the newest command that was not about a duty; equal revisions mean
     * equal states apart from the duties. Commands about duties come every few seconds and would
     * otherwise make every gateway fetch overrides that have not changed.
     */
    public long revision() {
        return mRevision;
    }

    /**
     * Returns whether a result of {@link #apply} is a success.
     *
     * @param result the result
     * @return false if the command was refused
     */
    public static boolean isSuccess(byte[] result) {
        return result.length == 1 && result[0] == SUCCESS[0];
    }

    /**
     * Returns whether a result of {@link #apply} means that a newer order about the same zone or
     * service was applied before, so that the order had no effect.
     *
     * @param result the result
     * @return true if the order was superseded
     */
    public static boolean isSuperseded(byte[] result) {
        return result.length == 1 && result[0] == SUPERSEDED[0];
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        ControlCommandData data;
        try {
            data = StructCodec.decode(command, MAX_ENCODED_BYTES, new ControlCommandData());
        } catch (HemlockrackException e) {
            // All replicas refuse the same bytes; an exception would stop every one of them here.
            mRevision = index;
            return REFUSED.clone();
        }
        if (isAboutDuty(data)) {
            mDuties = mDuties.after(data.getDuty());
            return SUCCESS.clone();
        }
        mRevision = index;
        if (data.getKind() == null) {
            return REFUSED.clone();
        }
        switch (data.getKind()) {
            case PUBLISH_TABLE -> publishTable(data);
            case EVACUATE_ZONE -> {
                return setZoneEvacuated(data, true);
            }
            case RESTORE_ZONE -> {
                return setZoneEvacuated(data, false);
            }
            case START_MOVE -> {
                return startMove(data, leaderTimeMillis);
            }
            case DEPART -> recordDeparture(data.getDeparture(), leaderTimeMillis);
            case ADVANCE_MOVE, FINISH_MOVE -> updateMove(TrafficMove.of(data.getMove()));
            default -> {
                return REFUSED.clone();
            }
        }
        return SUCCESS.clone();
    }

    private static boolean isAboutDuty(ControlCommandData data) {
        return data.getKind() == ControlCommandKind.CHANGE_DUTY && data.isSetDuty();
    }

    private void publishTable(ControlCommandData data) {
        if (data.getTableVersion() <= mTableVersion) {
            return;
        }
        mTableVersion = data.getTableVersion();
        mTableDocument = data.getTableDocument();
    }

    private void recordDeparture(DepartureData departure, long leaderTimeMillis) {
        BackendId id = BackendId.of(departure.getServer());
        if (mOverrides.hasDeparted(id, departure.getBornMillis())) {
            return;
        }
        mOverrides =
                mOverrides.withDeparture(
                        id,
                        new RoutingOverrides.Departure(departure.getBornMillis(), leaderTimeMillis),
                        leaderTimeMillis - DEPARTURE_RETENTION_MILLIS);
    }

    private byte[] setZoneEvacuated(ControlCommandData data, boolean evacuated) {
        ZoneId zone = ZoneId.of(data.getZone());
        boolean inEffect = mOverrides.evacuatedZones().contains(zone) == evacuated;
        if (!beginOrder("zone " + zone, data, inEffect)) {
            return SUPERSEDED.clone();
        }
        mOverrides = mOverrides.withZone(zone, evacuated);
        return SUCCESS.clone();
    }

    private byte[] startMove(ControlCommandData data, long leaderTimeMillis) {
        TrafficMove requested = TrafficMove.of(data.getMove());
        TrafficMove current = mOverrides.move(requested.service());
        boolean inEffect = current != null && current.target().equals(requested.target());
        if (!beginOrder("service " + requested.service(), data, inEffect)) {
            return SUPERSEDED.clone();
        }
        if (inEffect) {
            // A retry after a lost acknowledgement.
            return SUCCESS.clone();
        }
        long durationMillis = requested.deadlineMillis() - requested.startMillis();
        mOverrides =
                mOverrides.withMove(
                        new TrafficMove(
                                requested.service(),
                                requested.target(),
                                MoveStatus.IN_PROGRESS,
                                requested.sharePerMille(),
                                leaderTimeMillis,
                                leaderTimeMillis + durationMillis));
        return SUCCESS.clone();
    }

    /**
     * Records an order, which supersedes all orders about its subject that were given for an
     * earlier revision.
     *
     * @param inEffect whether the state is already as the order demands, as for a repeated append
     * @return false if the order is itself superseded
     */
    private boolean beginOrder(String subject, ControlCommandData data, boolean inEffect) {
        long newest = mOrderRevisions.getOrDefault(subject, 0L);
        boolean superseded =
                data.isSetBasedOnRevision() && newest > data.getBasedOnRevision() && !inEffect;
        if (superseded) {
            return false;
        }
        mOrderRevisions.put(subject, mRevision);
        return true;
    }

    private void updateMove(TrafficMove next) {
        TrafficMove current = mOverrides.move(next.service());
        if (current == null
                || !current.isSameMove(next)
                || current.status() != MoveStatus.IN_PROGRESS) {
            return;
        }
        mOverrides = mOverrides.withMove(next);
    }

    @Override
    public int replayCost(byte[] command) {
        // A route table costs as much to replay as small commands of the same total size.
        return 1 + command.length / 256;
    }

    @Override
    public byte[] snapshot() {
        ControlSnapshotData data =
                new ControlSnapshotData(
                        mTableVersion,
                        ByteBuffer.wrap(mTableDocument),
                        mOverrides.toData(),
                        mRevision);
        data.setOrderRevisions(mOrderRevisions);
        if (mDuties != DutyState.EMPTY) {
            data.setDuties(mDuties.toData());
        }
        return StructCodec.encode(data);
    }

    @Override
    public void restore(byte[] snapshot) {
        ControlSnapshotData data =
                StructCodec.decode(snapshot, MAX_ENCODED_BYTES, new ControlSnapshotData());
        mTableVersion = data.getTableVersion();
        mTableDocument = data.getTableDocument();
        mOverrides = RoutingOverrides.of(data.getFacts());
        mRevision = data.getRevision();
        mDuties = DutyState.of(data.getDuties());
        mOrderRevisions.clear();
        if (data.isSetOrderRevisions()) {
            mOrderRevisions.putAll(data.getOrderRevisions());
        }
    }
}
