package org.hemlockrack.daemon.burn;

import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Executor;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.burn.BurnAccounts;
import org.hemlockrack.burn.BurnReport;
import org.hemlockrack.burn.LatencySample;
import org.hemlockrack.burn.MissContext;
import org.hemlockrack.config.LatencyObjective;
import org.hemlockrack.config.WorkspaceConfig;
import org.hemlockrack.daemon.config.ConfigService;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.fleet.PeerNetwork;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.daemon.loop.EventLoop;
import org.hemlockrack.membership.Member;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/**
 * Counts finished requests against the latency objectives of their workspaces, and reports how fast
 * the fleet uses up the error budgets. Confined to the loop except as stated.
 */
public final class BurnService {
    private static final long SAVE_INTERVAL_MILLIS = 30_000;
    private static final long FETCH_TIMEOUT_MILLIS = 2_000;
    private static final double DEFAULT_TARGET_SHARE = 0.95;
    private static final int STATUS_OK = 200;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final ConfigService mConfig;
    private final @Nullable BurnFile mFile;
    private final BurnAccounts mAccounts;

    private BurnService(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            ConfigService config,
            @Nullable BurnFile file,
            BurnAccounts accounts) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mConfig = config;
        mFile = file;
        mAccounts = accounts;
    }

    /**
     * Creates the service with the accounts in its file, or empty ones if it cannot be read.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param config the configuration in force
     * @param log the event log
     * @param file file that stores the accounts across restarts, or null to store none
     * @param disk runs the writes of the file; may wait for the disk
     * @return the service
     */
    public static BurnService create(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            ConfigService config,
            EventLog log,
            @Nullable Path file,
            Executor disk) {
        BurnFile burnFile = file == null ? null : BurnFile.of(file, disk, log);
        BurnAccounts accounts = burnFile == null ? BurnAccounts.create() : burnFile.load();
        BurnService service = new BurnService(loop, fleet, network, config, burnFile, accounts);
        loop.scheduleWithFixedDelay(SAVE_INTERVAL_MILLIS, service::save);
        return service;
    }

    /** Writes the accounts asynchronously. */
    public void save() {
        if (mFile != null) {
            mFile.save(mAccounts.encode());
        }
    }

    /**
     * Counts a finished request.
     *
     * @param workspace its workspace
     * @param objective latency objective of the workspace
     * @param sample its measured times
     * @param context circumstances that may explain a missed objective
     */
    public void recordRequest(
            WorkspaceId workspace,
            LatencyObjective objective,
            LatencySample sample,
            MissContext context) {
        mAccounts.count(System.currentTimeMillis(), workspace, objective, sample, context);
    }

    /** Returns the encoded accounts. Safe for use from any thread but the loop. */
    public byte[] encodeAccounts() {
        return mLoop.submit(mAccounts::encode).join();
    }

    /**
     * Responds with the report of the whole fleet. The header field {@code X-Missing-Instances}
     * counts the reachable instances that did not reply in time. Safe for use from any thread.
     *
     * @param call the request; parameter {@code format} is {@code json}, {@code table} or {@code
     *     html}
     * @param responder sends the response
     */
    public void report(HttpCall call, Responder responder) {
        List<CompletableFuture<byte[]>> replies = new ArrayList<>();
        for (Member member : mFleet.view().members().values()) {
            if (member.id().equals(mFleet.selfId()) || !member.status().isReachable()) {
                continue;
            }
            replies.add(
                    mNetwork.callAsync(
                                    member.info().peerAddress(),
                                    client -> {
                                        ByteBuffer buffer = client.fetchBurn();
                                        byte[] bytes = new byte[buffer.remaining()];
                                        buffer.get(bytes);
                                        return bytes;
                                    })
                            .completeOnTimeout(
                                    new byte[0], FETCH_TIMEOUT_MILLIS, TimeUnit.MILLISECONDS)
                            .exceptionally(error -> new byte[0]));
        }
        CompletableFuture.allOf(replies.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> mLoop.execute(() -> mergeAndSend(replies, call, responder)));
    }

    private void mergeAndSend(
            List<CompletableFuture<byte[]>> replies, HttpCall call, Responder responder) {
        BurnAccounts merged = BurnAccounts.create();
        merged.merge(mAccounts);
        int missingCount = 0;
        for (CompletableFuture<byte[]> reply : replies) {
            byte[] bytes = reply.join();
            if (bytes.length == 0) {
                missingCount++;
                continue;
            }
            merged.merge(BurnAccounts.decode(bytes));
        }
        BurnReport report = BurnReport.of(merged, this::targetShare, System.currentTimeMillis());
        HeaderField missing = HeaderField.of("X-Missing-Instances", Integer.toString(missingCount));
        send(report, String.valueOf(call.queryParameter("format")), missing, responder);
    }

    private static void send(
            BurnReport report, String format, HeaderField missing, Responder responder) {
        switch (format) {
            case "table" -> sendText(responder, "text/plain", report.toTable(), missing);
            case "html" -> sendText(responder, "text/html", report.toHtml(), missing);
            default -> responder.sendJsonDocument(STATUS_OK, report.toJson(), missing);
        }
    }

    private static void sendText(
            Responder responder, String type, String body, HeaderField missing) {
        responder.sendDocument(
                STATUS_OK,
                List.of(HeaderField.of("Content-Type", type + "; charset=utf-8"), missing),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private double targetShare(WorkspaceId workspace) {
        WorkspaceConfig config = mConfig.current().configuration().workspaces().get(workspace);
        return config == null ? DEFAULT_TARGET_SHARE : config.latencyObjective().targetShare();
    }
}
