package org.hemlockrack.daemon.controller;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.capacity.CapacityObservations;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.scheduling.WorkspaceUsage;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.ServiceUsageData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VersionCountsData;
import org.hemlockrack.wire.WorkspaceUsageData;
import org.jspecify.annotations.Nullable;

/**
 * The last report of each gateway: requests in progress, answer counts and requests by workspace,
 * and what all gateways have seen of the servers' speed. Not thread-safe.
 */
final class GatewayReports {
    /** A gateway that has sent no report for this long is removed. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Time for which the sum of the loads is cached, so that gateways that ask meanwhile share it.
     */
    private static final long SUM_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    /**
     * Largest number of usages in a reply. Two services with 24 workspaces and three ranks need
     * 144; each takes about 20 bytes.
     */
    static final int MAX_USAGES = 192;

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<VersionKey, VersionAnswers> mExpiredCounts = new HashMap<>();
    private final CapacityObservations mObservations = CapacityObservations.ofController();
    private List<LoadData> mCachedSum = List.of();
    private long mCachedSumNanos;
    private boolean mHasCachedSum;
    private UsageSum mCachedUsages = new UsageSum(0, List.of(), 0);
    private boolean mHasCachedUsages;

    private record Report(
            long atNanos,
            List<LoadData> inFlight,
            List<VersionCountsData> counts,
            @Nullable List<ServiceUsageData> usages) {}

    private record UsageSum(long atNanos, List<ServiceUsageData> services, int gateways) {}

    private record UsageKey(String service, int rank, String workspace) {}

    private record VersionKey(String service, String softwareVersion) {}

    void recordReport(long nowNanos, SyncRequest request) {
        mReports.put(
                request.getSender(),
                new Report(
                        nowNanos, request.getInFlight(), request.getCounts(), request.getUsages()));
    }

    /** Merges what a gateway has seen of the servers' speed, and tells it what others have seen. */
    void exchangeObservations(
            long nowNanos, boolean sameEpoch, SyncRequest request, SyncReply reply) {
        if (request.isSetCapacity()) {
            mObservations.recordAll(nowNanos, request.getCapacity());
        }
        if (!request.isSetCapacityPosition()) {
            return;
        }
        PagedLog.Page<CapacityData> page =
                mObservations.readFrom(
                        nowNanos,
                        sameEpoch ? request.getCapacityPosition() : 0,
                        ControllerLink.MAX_RECEIVED_OBSERVATIONS);
        reply.setCapacityPosition(page.next());
        if (!page.entries().isEmpty()) {
            reply.setCapacity(page.entries());
        }
    }

    int gatewayCount(long nowNanos) {
        expire(nowNanos);
        return mReports.size();
    }

    /**
     * Removes expired reports. The answers that a removed gateway had counted stay part of the
     * sums.
     */
    private void expire(long nowNanos) {
        mReports.values()
                .removeIf(
                        report -> {
                            boolean expired = nowNanos - report.atNanos() > EXPIRY_NANOS;
                            if (expired) {
                                report.counts().forEach(each -> add(mExpiredCounts, each));
                            }
                            return expired;
                        });
    }

    private static void add(Map<VersionKey, VersionAnswers> sums, VersionCountsData counts) {
        VersionAnswers answers =
                new VersionAnswers(
                        counts.getSucceeded(), counts.getFailed(), counts.getFirstByteMicros());
        sums.merge(
                new VersionKey(counts.getServiceName(), counts.getSoftwareVersion()),
                answers,
                VersionAnswers::mergedWith);
    }

    List<LoadData> fleetInFlight(long nowNanos) {
        if (mHasCachedSum && nowNanos - mCachedSumNanos < SUM_CACHE_NANOS) {
            return mCachedSum;
        }
        Map<String, Integer> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            for (LoadData load : report.inFlight()) {
                sums.merge(load.getServer(), load.getRequests(), Integer::sum);
            }
        }
        List<LoadData> data = new ArrayList<>(sums.size());
        sums.forEach((server, requests) -> data.add(new LoadData(server, requests)));
        mCachedSum = data;
        mCachedSumNanos = nowNanos;
        mHasCachedSum = true;
        return data;
    }

    /**
     * Adds the sums of the requests by workspace to a reply.
     *
     * @param nowNanos monotonic time
     * @param reply the reply to a gateway that reports its own
     */
    void describeUsages(long nowNanos, SyncReply reply) {
        if (!mHasCachedUsages || nowNanos - mCachedUsages.atNanos() >= SUM_CACHE_NANOS) {
            expire(nowNanos);
            mCachedUsages = sumUsages(nowNanos);
            mHasCachedUsages = true;
        }
        reply.setFleetUsages(mCachedUsages.services());
        reply.setUsageGateways(mCachedUsages.gateways());
    }

    private UsageSum sumUsages(long nowNanos) {
        Map<UsageKey, WorkspaceUsageData> sums = new HashMap<>();
        int gateways = 0;
        for (Report report : mReports.values()) {
            if (report.usages() == null) {
                continue;
            }
            gateways++;
            for (ServiceUsageData service : report.usages()) {
                service.getUsages().forEach(each -> add(sums, service.getServiceName(), each));
            }
        }
        Map<String, List<WorkspaceUsageData>> byService = new HashMap<>();
        combineIdleServices(sums);
        sums.entrySet().stream()
                .sorted(
                        Comparator.comparingInt(
                                each ->
                                        -each.getValue().getRunning()
                                                - each.getValue().getWaiting()))
                .limit(MAX_USAGES)
                .forEach(
                        each ->
                                byService
                                        .computeIfAbsent(
                                                each.getKey().service(), key -> new ArrayList<>())
                                        .add(each.getValue()));
        List<ServiceUsageData> services = new ArrayList<>(byService.size());
        byService.forEach((name, usages) -> services.add(new ServiceUsageData(name, usages)));
        return new UsageSum(nowNanos, services, gateways);
    }

    /**
     * Replaces the sums of services for which no request waits by one for all workspaces. Shares
     * matter only while requests wait, and the replies to all gateways would fill the link of a
     * controller.
     */
    private static void combineIdleServices(Map<UsageKey, WorkspaceUsageData> sums) {
        Set<String> scarce = new HashSet<>();
        Map<String, Integer> running = new HashMap<>();
        sums.forEach(
                (key, usage) -> {
                    running.merge(key.service(), usage.getRunning(), Integer::sum);
                    if (usage.getWaiting() > 0) {
                        scarce.add(key.service());
                    }
                });
        sums.keySet().removeIf(key -> !scarce.contains(key.service()));
        running.keySet().removeAll(scarce);
        running.forEach(
                (service, requests) ->
                        sums.put(
                                new UsageKey(service, 0, WorkspaceUsage.ALL_WORKSPACES),
                                new WorkspaceUsageData(
                                        0, WorkspaceUsage.ALL_WORKSPACES, requests, 0)));
    }

    private static void add(
            Map<UsageKey, WorkspaceUsageData> sums, String service, WorkspaceUsageData usage) {
        WorkspaceUsageData sum =
                sums.computeIfAbsent(
                        new UsageKey(service, usage.getRank(), usage.getWorkspace()),
                        key -> new WorkspaceUsageData(key.rank(), key.workspace(), 0, 0));
        sum.setRunning(sum.getRunning() + usage.getRunning());
        sum.setWaiting(sum.getWaiting() + usage.getWaiting());
    }

    /** Returns the answer counts of a service by software version, summed over all gateways. */
    Map<String, VersionAnswers> answersByVersion(ServiceId service) {
        Map<VersionKey, VersionAnswers> sums = new HashMap<>(mExpiredCounts);
        for (Report report : mReports.values()) {
            report.counts().forEach(each -> add(sums, each));
        }
        Map<String, VersionAnswers> byVersion = new HashMap<>();
        sums.forEach(
                (key, answers) -> {
                    if (key.service().equals(service.value())) {
                        byVersion.put(key.softwareVersion(), answers);
                    }
                });
        return byVersion;
    }
}
