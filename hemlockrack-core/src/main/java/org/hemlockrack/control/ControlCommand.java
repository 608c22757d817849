package org.hemlockrack.control;

import java.nio.ByteBuffer;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.wire.ControlCommandData;
import org.hemlockrack.wire.ControlCommandKind;
import org.hemlockrack.wire.DepartureData;
import org.hemlockrack.wire.DutyCommandData;
import org.jspecify.annotations.Nullable;

/** Encodes the commands of {@link ControlState}. Each command is idempotent. */
public final class ControlCommand {
    private ControlCommand() {}

    /**
     * Publishes a route table.
     *
     * @param version its version; a table that is not newer changes nothing
     * @param document the table as the operator sent it, deflated because it is sent to many
     *     instances
     * @return the command
     */
    public static byte[] publishTable(long version, byte[] document) {
        ControlCommandData data = of(ControlCommandKind.PUBLISH_TABLE);
        data.setTableVersion(version);
        data.setTableDocument(ByteBuffer.wrap(document));
        return StructCodec.encode(data);
    }

    /**
     * Returns the route table that a command publishes.
     *
     * @param command a command of any kind
     * @return the table, or null if the command publishes none or is damaged
     */
    static TableHistory.@Nullable LoggedTable publishedTable(byte[] command) {
        ControlCommandData data;
        try {
            data =
                    StructCodec.decode(
                            command, ControlState.MAX_ENCODED_BYTES, new ControlCommandData());
        } catch (HemlockrackException e) {
            // The replicated state refuses such a command.
            return null;
        }
        return data.getKind() == ControlCommandKind.PUBLISH_TABLE
                ? new TableHistory.LoggedTable(data.getTableVersion(), data.getTableDocument())
                : null;
    }

    /**
     * Evacuates a zone or puts it back into service.
     *
     * @param zone the zone
     * @param evacuated true if its backend servers shall get no requests
     * @param basedOnRevision revision of the state that the operator's order was given for; the
     *     command has no effect if a newer order about the zone was applied since
     * @return the command
     */
    public static byte[] setZoneEvacuated(ZoneId zone, boolean evacuated, long basedOnRevision) {
        ControlCommandData data =
                of(evacuated ? ControlCommandKind.EVACUATE_ZONE : ControlCommandKind.RESTORE_ZONE);
        data.setZone(zone.value());
        data.setBasedOnRevision(basedOnRevision);
        return StructCodec.encode(data);
    }

    /**
     * Records that a backend server leaves the fleet.
     *
     * @param id its id
     * @param startMillis start time of the incarnation that leaves
     * @return the command
     */
    public static byte[] recordDeparture(BackendId id, long startMillis) {
        ControlCommandData data = of(ControlCommandKind.DEPART);
        data.setDeparture(new DepartureData(id.value(), startMillis, 0));
        return StructCodec.encode(data);
    }

    /**
     * Starts a move. Has no effect if the newest move of the service has the same target.
     *
     * @param move the move; only the difference of its times counts, as the leader's time becomes
     *     the start when the command is applied
     * @param basedOnRevision revision of the state that the operator's order was given for; the
     *     command has no effect if a newer order about the service was applied since
     * @return the command
     */
    public static byte[] startMove(TrafficMove move, long basedOnRevision) {
        ControlCommandData data = of(ControlCommandKind.START_MOVE);
        data.setMove(move.toData());
        data.setBasedOnRevision(basedOnRevision);
        return StructCodec.encode(data);
    }

    /**
     * Changes the traffic share of a move in progress.
     *
     * @param move the move with the new share
     * @return the command
     */
    public static byte[] advanceMove(TrafficMove move) {
        return withMove(ControlCommandKind.ADVANCE_MOVE, move);
    }

    /**
     * Ends a move in progress.
     *
     * @param move the move with its final status
     * @return the command
     */
    public static byte[] finishMove(TrafficMove move) {
        return withMove(ControlCommandKind.FINISH_MOVE, move);
    }

    /**
     * Changes the state of the duties.
     *
     * @param command built by {@link org.hemlockrack.duties.DutyCommand}
     * @return the command
     */
    public static byte[] changeDuty(DutyCommandData command) {
        ControlCommandData data = of(ControlCommandKind.CHANGE_DUTY);
        data.setDuty(command);
        return StructCodec.encode(data);
    }

    private static byte[] withMove(ControlCommandKind kind, TrafficMove move) {
        ControlCommandData data = of(kind);
        data.setMove(move.toData());
        return StructCodec.encode(data);
    }

    private static ControlCommandData of(ControlCommandKind kind) {
        ControlCommandData data = new ControlCommandData();
        data.setKind(kind);
        return data;
    }
}
