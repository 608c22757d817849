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

/** Encodes burn accounts as a CRC32C checksum followed by a Thrift struct. */
public final class BurnCodec {
    /** Upper bound of the checksum and the fields of the outer struct. */
    private static final int FRAME_BYTES = 64;

    private BurnCodec() {}

    /** Receives the decoded series. */
    public interface SeriesConsumer {
        /**
         * Receives a series.
         *
         * @param workspace the workspace
         * @param indicator the indicator
         * @param series the series
         */
        void accept(WorkspaceId workspace, LatencyIndicator indicator, BurnSeries series);
    }

    /**
     * Encodes accounts.
     *
     * @param accounts the accounts
     * @param maxBytes maximum size of the result; workspaces that do not fit are omitted
     * @return the bytes
     */
    public static byte[] encode(
            Map<WorkspaceId, Map<LatencyIndicator, BurnSeries>> accounts, int maxBytes) {
        List<BurnWorkspaceData> list = new ArrayList<>();
        int remainingBytes = maxBytes - FRAME_BYTES;
        for (Map.Entry<WorkspaceId, Map<LatencyIndicator, BurnSeries>> each : accounts.entrySet()) {
            BurnWorkspaceData data = toData(each.getKey(), each.getValue());
            remainingBytes -= StructCodec.encode(data).length;
            if (remainingBytes < 0) {
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
     * @param maxBytes maximum accepted size
     * @param consumer receives the series as they are read
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are damaged
     */
    public static void decode(byte[] bytes, int maxBytes, SeriesConsumer consumer) {
        if (bytes.length < Integer.BYTES) {
            throw malformed("too short for the checksum");
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
                consumer.accept(
                        workspace,
                        indicatorOf(series.getPromise()),
                        BurnSeries.fromData(series.getRings()));
            }
        }
    }

    private static BurnWorkspaceData toData(
            WorkspaceId workspace, Map<LatencyIndicator, BurnSeries> seriesByIndicator) {
        List<BurnSeriesData> list = new ArrayList<>();
        seriesByIndicator.forEach(
                (indicator, series) ->
                        list.add(new BurnSeriesData(indicator.ordinal(), series.toData())));
        return new BurnWorkspaceData(workspace.value(), list);
    }

    private static LatencyIndicator indicatorOf(int ordinal) {
        if (ordinal < 0 || ordinal >= LatencyIndicator.values().length) {
            throw malformed("unknown latency indicator");
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
