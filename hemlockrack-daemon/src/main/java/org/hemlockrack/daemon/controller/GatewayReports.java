package org.hemlockrack.daemon.controller;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.control.MoveEvaluator.VersionAnswers;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.wire.LoadData;
import org.hemlockrack.wire.SyncRequest;
import org.hemlockrack.wire.VersionCountsData;

/** What the gateways last reported: loads and answers by version. Not thread-safe. */
final class GatewayReports {
    /** A gateway that is silent for longer is not counted any more. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    /** The sum is shared by all gateways that ask within this time. */
    private static final long SUM_NANOS = TimeUnit.MILLISECONDS.toNanos(50);

    private final Map<String, Report> mReports = new HashMap<>();
    private final Map<Key, VersionAnswers> mEnded = new HashMap<>();
    private List<LoadData> mSum = List.of();
    private long mSumNanos;
    private boolean mSummed;

    private record Report(long atNanos, List<LoadData> inFlight, List<VersionCountsData> counts) {}

    private record Key(String service, String softwareVersion) {}

    void note(long nowNanos, SyncRequest request) {
        mReports.put(
                request.getSender(),
                new Report(nowNanos, request.getInFlight(), request.getCounts()));
    }

    int gateways(long nowNanos) {
        expire(nowNanos);
        return mReports.size();
    }

    /** Answers that a lost gateway had counted stay part of the sums. */
    private void expire(long nowNanos) {
        mReports.values()
                .removeIf(
                        report -> {
                            boolean old = nowNanos - report.atNanos() > EXPIRY_NANOS;
                            if (old) {
                                report.counts().forEach(each -> add(mEnded, each));
                            }
                            return old;
                        });
    }

    private static void add(Map<Key, VersionAnswers> sums, VersionCountsData each) {
        VersionAnswers answers =
                new VersionAnswers(
                        each.getSucceeded(), each.getFailed(), each.getFirstByteMicros());
        sums.merge(
                new Key(each.getServiceName(), each.getSoftwareVersion()),
                answers,
                VersionAnswers::mergedWith);
    }

    List<LoadData> fleetInFlight(long nowNanos) {
        if (mSummed && nowNanos - mSumNanos < SUM_NANOS) {
            return mSum;
        }
        Map<String, Integer> sums = new HashMap<>();
        for (Report report : mReports.values()) {
            for (LoadData load : report.inFlight()) {
                sums.merge(load.getServer(), load.getRequests(), Integer::sum);
            }
        }
        List<LoadData> data = new ArrayList<>(sums.size());
        sums.forEach((server, requests) -> data.add(new LoadData(server, requests)));
        mSum = data;
        mSumNanos = nowNanos;
        mSummed = true;
        return data;
    }

    /** Returns the answers of a service by version, all gateways together. */
    Map<String, VersionAnswers> answers(ServiceId service) {
        Map<Key, VersionAnswers> sums = new HashMap<>(mEnded);
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
