package org.hemlockrack.daemon.burn;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.FileChannel;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.nio.file.StandardCopyOption;
import java.nio.file.StandardOpenOption;
import java.util.ArrayList;
import java.util.List;
import java.util.concurrent.CompletableFuture;
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
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;
import org.hemlockrack.membership.Member;
import org.hemlockrack.model.WorkspaceId;
import org.jspecify.annotations.Nullable;

/** Counts finished requests and reports their burn. Confined to the loop except as stated. */
public final class BurnService {
    private static final long SAVE_MILLIS = 30_000;
    private static final long ASK_MILLIS = 2_000;
    private static final double DEFAULT_OBJECTIVE = 0.95;
    private static final int STATUS_OK = 200;

    private final EventLoop mLoop;
    private final FleetMembership mFleet;
    private final PeerNetwork mNetwork;
    private final ConfigService mConfig;
    private final EventLog mLog;
    private final @Nullable Path mFile;
    private final BurnAccounts mAccounts;

    private BurnService(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            ConfigService config,
            EventLog log,
            @Nullable Path file,
            BurnAccounts accounts) {
        mLoop = loop;
        mFleet = fleet;
        mNetwork = network;
        mConfig = config;
        mLog = log;
        mFile = file;
        mAccounts = accounts;
    }

    /**
     * Creates the service with the accounts of its file.
     *
     * @param loop loop that owns it
     * @param fleet the fleet
     * @param network connections to other instances
     * @param config the configuration in force
     * @param log the log
     * @param file file that keeps the accounts over restarts, or null to keep none
     * @return the service
     */
    public static BurnService create(
            EventLoop loop,
            FleetMembership fleet,
            PeerNetwork network,
            ConfigService config,
            EventLog log,
            @Nullable Path file) {
        BurnService service =
                new BurnService(loop, fleet, network, config, log, file, load(file, log));
        loop.scheduleWithFixedDelay(SAVE_MILLIS, service::save);
        return service;
    }

    private static BurnAccounts load(@Nullable Path file, EventLog log) {
        if (file == null || !Files.exists(file)) {
            return BurnAccounts.create();
        }
        try {
            return BurnAccounts.decode(Files.readAllBytes(file));
        } catch (IOException | HemlockrackException e) {
            log.log(LogEvent.BURN_FILE_REFUSED, "%s: %s", file, e.getMessage());
            return BurnAccounts.create();
        }
    }

    /** Writes the accounts to their file; a torn write leaves the earlier file. */
    public void save() {
        if (mFile == null) {
            return;
        }
        Path temporary = mFile.resolveSibling(mFile.getFileName() + ".new");
        try (FileChannel channel =
                FileChannel.open(
                        temporary,
                        StandardOpenOption.CREATE,
                        StandardOpenOption.TRUNCATE_EXISTING,
                        StandardOpenOption.WRITE)) {
            ByteBuffer bytes = ByteBuffer.wrap(mAccounts.encode());
            while (bytes.hasRemaining()) {
                channel.write(bytes);
            }
            channel.force(true);
            Files.move(temporary, mFile, StandardCopyOption.ATOMIC_MOVE);
        } catch (IOException e) {
            log(e);
        }
    }

    private void log(IOException cause) {
        mLog.log(LogEvent.BURN_FILE_REFUSED, "%s cannot be written: %s", mFile, cause);
    }

    /**
     * Counts a finished request.
     *
     * @param workspace its workspace
     * @param promise latency objective of the workspace
     * @param sample its times
     * @param facts what explains a miss
     */
    public void count(
            WorkspaceId workspace,
            LatencyObjective promise,
            LatencySample sample,
            MissContext facts) {
        mAccounts.count(System.currentTimeMillis(), workspace, promise, sample, facts);
    }

    /** Returns the encoded accounts. Safe for use from any thread but the loop. */
    public byte[] encoded() {
        return mLoop.submit(mAccounts::encode).join();
    }

    /**
     * Answers with the report of the whole fleet. Safe for use from any thread.
     *
     * @param call the request; parameter {@code format} is {@code json}, {@code table} or {@code
     *     html}
     * @param responder takes the answer
     */
    public void report(HttpCall call, Responder responder) {
        List<CompletableFuture<byte[]>> answers = new ArrayList<>();
        for (Member member : mFleet.view().members().values()) {
            if (member.id().equals(mFleet.selfId()) || !member.status().isReachable()) {
                continue;
            }
            answers.add(
                    mNetwork.callAsync(
                                    member.info().peerAddress(),
                                    client -> {
                                        ByteBuffer buffer = client.fetchBurn();
                                        byte[] bytes = new byte[buffer.remaining()];
                                        buffer.get(bytes);
                                        return bytes;
                                    })
                            .completeOnTimeout(new byte[0], ASK_MILLIS, TimeUnit.MILLISECONDS)
                            .exceptionally(fault -> new byte[0]));
        }
        CompletableFuture.allOf(answers.toArray(new CompletableFuture<?>[0]))
                .thenRun(() -> mLoop.execute(() -> merge(answers, call, responder)));
    }

    private void merge(
            List<CompletableFuture<byte[]>> answers, HttpCall call, Responder responder) {
        BurnAccounts merged = BurnAccounts.create();
        merged.merge(mAccounts);
        int silent = 0;
        for (CompletableFuture<byte[]> answer : answers) {
            byte[] bytes = answer.join();
            if (bytes.length == 0) {
                silent++;
                continue;
            }
            merged.merge(BurnAccounts.decode(bytes));
        }
        BurnReport report = BurnReport.of(merged, this::objective, System.currentTimeMillis());
        HeaderField missing = HeaderField.of("X-Missing-Instances", Integer.toString(silent));
        send(report, String.valueOf(call.queryParameter("format")), missing, responder);
    }

    private static void send(
            BurnReport report, String format, HeaderField missing, Responder responder) {
        switch (format) {
            case "table" -> text(responder, "text/plain", report.toTable(), missing);
            case "html" -> text(responder, "text/html", report.toHtml(), missing);
            default -> responder.sendJson(STATUS_OK, report.toJson(), missing);
        }
    }

    private static void text(Responder responder, String type, String body, HeaderField missing) {
        responder.send(
                STATUS_OK,
                List.of(HeaderField.of("Content-Type", type + "; charset=utf-8"), missing),
                body.getBytes(StandardCharsets.UTF_8));
    }

    private double objective(WorkspaceId workspace) {
        WorkspaceConfig config = mConfig.current().configuration().workspaces().get(workspace);
        return config == null ? DEFAULT_OBJECTIVE : config.latencyObjective().targetShare();
    }
}
