package org.hemlockrack.control;

import java.nio.ByteBuffer;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.consensus.ReplicatedState;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ControlCommandData;
import org.hemlockrack.wire.ControlSnapshotData;
import org.hemlockrack.wire.DepartureData;

/**
 * The replicated state of the controllers. The table with the highest version is in force; a
 * command with an older one is answered like a success, since its effect is already superseded.
 */
public final class ControlState implements ReplicatedState {
    /** Most bytes of a command or snapshot; bounds what a replica allocates. */
    private static final int MAX_BYTES = 16 << 20;

    /** A departed incarnation sends nothing any more after this time. */
    private static final long DEPARTURE_KEPT_MILLIS = TimeUnit.MINUTES.toMillis(10);

    private static final byte[] DONE = {1};
    private static final byte[] REFUSED = {0};

    private long mTableVersion;
    private byte[] mTableDocument = new byte[0];
    private RoutingOverrides mFacts = RoutingOverrides.NONE;
    private long mRevision;

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

    /** Returns the other facts. */
    public RoutingOverrides overrides() {
        return mFacts;
    }

    /** Returns the log index of the newest command; replicas that agree on it hold the same. */
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
        return result.length == 1 && result[0] == DONE[0];
    }

    @Override
    public byte[] apply(long index, long leaderTimeMillis, byte[] command) {
        mRevision = index;
        ControlCommandData data;
        try {
            data = StructCodec.decode(command, MAX_BYTES, new ControlCommandData());
        } catch (HemlockrackException e) {
            // Every replica refuses the same bytes; throwing would stop all of them here.
            return REFUSED.clone();
        }
        if (data.getKind() == null) {
            return REFUSED.clone();
        }
        switch (data.getKind()) {
            case PUBLISH_TABLE -> publish(data);
            case EVACUATE_ZONE -> mFacts = mFacts.withZone(ZoneId.of(data.getZone()), true);
            case RESTORE_ZONE -> mFacts = mFacts.withZone(ZoneId.of(data.getZone()), false);
            case DEPART -> depart(data.getDeparture(), leaderTimeMillis);
            case START_MOVE -> start(TrafficMove.of(data.getMove()), leaderTimeMillis);
            case ADVANCE_MOVE, FINISH_MOVE -> change(TrafficMove.of(data.getMove()));
            default -> {
                return REFUSED.clone();
            }
        }
        return DONE.clone();
    }

    private void publish(ControlCommandData data) {
        if (data.getTableVersion() <= mTableVersion) {
            return;
        }
        mTableVersion = data.getTableVersion();
        mTableDocument = data.getTableDocument();
    }

    private void depart(DepartureData departure, long leaderTimeMillis) {
        BackendId id = BackendId.of(departure.getServer());
        if (mFacts.hasDeparted(id, departure.getBornMillis())) {
            return;
        }
        mFacts =
                mFacts.withDeparture(
                        id,
                        new RoutingOverrides.Departure(departure.getBornMillis(), leaderTimeMillis),
                        leaderTimeMillis - DEPARTURE_KEPT_MILLIS);
    }

    private void start(TrafficMove order, long leaderTimeMillis) {
        TrafficMove known = mFacts.move(order.service());
        if (known != null && known.target().equals(order.target())) {
            // The order was sent again after a lost acknowledgement.
            return;
        }
        long durationMillis = order.deadlineMillis() - order.startMillis();
        mFacts =
                mFacts.withMove(
                        new TrafficMove(
                                order.service(),
                                order.target(),
                                MoveStatus.IN_PROGRESS,
                                order.sharePerMille(),
                                leaderTimeMillis,
                                leaderTimeMillis + durationMillis));
    }

    private void change(TrafficMove next) {
        TrafficMove known = mFacts.move(next.service());
        if (known == null || !known.sameOrder(next) || known.status() != MoveStatus.IN_PROGRESS) {
            return;
        }
        mFacts = mFacts.withMove(next);
    }

    @Override
    public int replayCost(byte[] command) {
        // A table weighs as much as the small commands of the same size.
        return 1 + command.length / 256;
    }

    @Override
    public byte[] snapshot() {
        return StructCodec.encode(
                new ControlSnapshotData(
                        mTableVersion,
                        ByteBuffer.wrap(mTableDocument),
                        mFacts.toData(),
                        mRevision));
    }

    @Override
    public void restore(byte[] snapshot) {
        ControlSnapshotData data =
                StructCodec.decode(snapshot, MAX_BYTES, new ControlSnapshotData());
        mTableVersion = data.getTableVersion();
        mTableDocument = data.getTableDocument();
        mFacts = RoutingOverrides.of(data.getFacts());
        mRevision = data.getRevision();
    }
}
