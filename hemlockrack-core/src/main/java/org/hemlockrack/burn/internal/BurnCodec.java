package org.hemlockrack.burn.internal;

import com.google.common.hash.Hashing;
import com.google.common.primitives.Ints;
import java.util.ArrayList;
import java.util.Arrays;
import java.util.List;
import java.util.Map;
import org.hemlockrack.burn.LatencyIndicator;
import org.hemlockrack.codec.StructCodec;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.wire.BurnAccountsData;
import org.hemlockrack.wire.BurnSeriesData;
import org.hemlockrack.wire.BurnWorkspaceData;

/** Encodes burn accounts as a CRC32C and a Thrift struct. */
public final class BurnCodec {
    /** Room for the checksum and the outer struct. */
    private static final int FRAME_BYTES = 64;

    private BurnCodec() {}

    /** Receives the decoded series. */
    public interface Receiver {
        /**
         * Receives a series.
         *
         * @param workspace the workspace
         * @param promise the promise
         * @param series the series
         */
        void accept(WorkspaceId workspace, LatencyIndicator promise, Series series);
    }

    /**
     * Encodes accounts.
     *
     * @param accounts the accounts
     * @param maxBytes most bytes; workspaces that do not fit are left out
     * @return the bytes
     */
    public static byte[] encode(
            Map<WorkspaceId, Map<LatencyIndicator, Series>> accounts, int maxBytes) {
        List<BurnWorkspaceData> list = new ArrayList<>();
        int roomBytes = maxBytes - FRAME_BYTES;
        for (Map.Entry<WorkspaceId, Map<LatencyIndicator, Series>> each : accounts.entrySet()) {
            BurnWorkspaceData data = toData(each.getKey(), each.getValue());
            roomBytes -= StructCodec.encode(data).length;
            if (roomBytes < 0) {
                break;
            }
            list.add(data);
        }
        byte[] body = StructCodec.encode(new BurnAccountsData(list, accounts.size() - list.size()));
        byte[] bytes = new byte[Integer.BYTES + body.length];
        System.arraycopy(checksum(body), 0, bytes, 0, Integer.BYTES);
        System.arraycopy(body, 0, bytes, Integer.BYTES, body.length);
        return bytes;
    }

    /**
     * Decodes accounts.
     *
     * @param bytes the bytes
     * @param maxBytes most bytes
     * @param receiver receives the series as they are read
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are damaged
     */
    public static void decode(byte[] bytes, int maxBytes, Receiver receiver) {
        if (bytes.length < Integer.BYTES) {
            throw malformed("cut off");
        }
        byte[] body = Arrays.copyOfRange(bytes, Integer.BYTES, bytes.length);
        if (!Arrays.equals(checksum(body), Arrays.copyOf(bytes, Integer.BYTES))) {
            throw malformed("the checksum differs");
        }
        BurnAccountsData data = StructCodec.decode(body, maxBytes, new BurnAccountsData());
        for (BurnWorkspaceData each : StructCodec.require("workspaces", data.getWorkspaces())) {
            WorkspaceId workspace =
                    WorkspaceId.of(StructCodec.require("workspace", each.getWorkspace()));
            for (BurnSeriesData series : StructCodec.require("series", each.getSeries())) {
                receiver.accept(
                        workspace,
                        promise(series.getPromise()),
                        Series.fromData(series.getRings()));
            }
        }
    }

    private static BurnWorkspaceData toData(
            WorkspaceId workspace, Map<LatencyIndicator, Series> promises) {
        List<BurnSeriesData> list = new ArrayList<>();
        promises.forEach(
                (promise, series) ->
                        list.add(new BurnSeriesData(promise.ordinal(), series.toData())));
        return new BurnWorkspaceData(workspace.value(), list);
    }

    private static LatencyIndicator promise(int ordinal) {
        if (ordinal < 0 || ordinal >= LatencyIndicator.values().length) {
            throw malformed("unknown promise");
        }
        return LatencyIndicator.values()[ordinal];
    }

    private static byte[] checksum(byte[] body) {
        return Ints.toByteArray(Hashing.crc32c().hashBytes(body).asInt());
    }

    private static HemlockrackException malformed(String reason) {
        return HemlockrackException.of(
                ErrorKind.BAD_REQUEST,
                String.format(ErrorText.STRUCT_MALFORMED, "burn accounts", reason));
    }
}
