package org.hemlockrack.daemon.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.capacity.CapacityObservations;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.daemon.sync.ControllerLink;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.paging.PagedLog;
import org.hemlockrack.wire.CapacityData;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.SyncReply;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VersionCountsData;

/**
 * The last report of each gateway: requests in progress and answer counts, and what all gateways
 * have seen of the servers' speed. Not thread-safe.
 */
final class GatewayReports {
    /** A gateway that has sent no report for this long is removed. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /**
     * Time for which the sum of the loads is cached, so that gateways that ask meanwhile share it.
     */
    private static final long SUM_CACHE_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<VersionKey, VersionAnswers> mExpiredCounts = new HashMap<>();
    private final CapacityObservations mObservations = CapacityObservations.ofController();
    private List<LoadData> mCachedSum = List.of();
    private long mCachedSumNanos;
    private boolean mHasCachedSum;

    private record Report(long atNanos, List<LoadData> inFlight, List<VersionCountsData> counts) {}

    private record VersionKey(String service, String softwareVersion) {}

    void recordReport(long nowNanos, SyncRequest request) {
        mReports.put(
                request.getSender(),
                new Report(nowNanos, request.getInFlight(), request.getCounts()));
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
