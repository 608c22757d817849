package org.hemlockrack.control;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.TreeSet;
import java.util.function.ToLongFunction;
import org.jspecify.annotations.Nullable;

/**
 * What the voters have reported of the route tables and orders in their logs. An acknowledged table
 * is on the disks of a majority. Any two majorities share a voter, and table versions only
 * increase, so the reports of a majority show every table that was acknowledged before they were
 * requested. That needs no leader. Not thread-safe.
 */
public final class LogReports {
    /**
     * The report of one voter.
     *
     * @param newestVersion version of the newest table in its log, committed or not
     * @param listedAbove version above which the report lists tables
     * @param newerVersions versions of the tables in its log that may be in force and are newer
     *     than that
     * @param settledTerm the term in which the voter has not voted beyond its durable log, or 0
     * @param settledRevision revision of the state that its log holds in that term, or 0
     * @param voters number of voters
     * @param requestedNanos monotonic time at which the report was requested
     * @param receivedNanos monotonic time at which it arrived
     */
    public record Report(
            long newestVersion,
            long listedAbove,
            List<Long> newerVersions,
            long settledTerm,
            long settledRevision,
            int voters,
            long requestedNanos,
            long receivedNanos) {
        /** Copies the list. */
        public Report {
            newerVersions = List.copyOf(newerVersions);
        }
    }

    private final Map<String, Report> mReports = new HashMap<>();

    private LogReports() {}

    /** Creates an instance without reports. */
    public static LogReports create() {
        return new LogReports();
    }

    /**
     * Records a report, which replaces the one before.
     *
     * @param voter the voter
     * @param report its report
     */
    public void record(String voter, Report report) {
        mReports.put(voter, report);
    }

    /**
     * Drops the report of an instance that is no voter any more.
     *
     * @param instance the instance
     */
    public void forget(String instance) {
        mReports.remove(instance);
    }

    /**
     * Drops the reports of all other instances.
     *
     * @param instances the instances that may be voters
     */
    public void retain(Set<String> instances) {
        mReports.keySet().retainAll(instances);
    }

    /** Returns the number of voters that make a majority, 0 if nobody has reported. */
    private int majority() {
        int voters = mReports.values().stream().mapToInt(Report::voters).max().orElse(0);
        return voters == 0 ? 0 : voters / 2 + 1;
    }

    /**
     * Returns the newest time by which a table is known to be at least as new as every acknowledged
     * one: a majority was asked at that time or later, and has no newer table.
     *
     * @param tableVersion version of the table
     * @return monotonic time, or null if no majority has reported that
     */
    public @Nullable Long confirmedNanos(long tableVersion) {
        List<Report> agreeing = new ArrayList<>();
        for (Report report : mReports.values()) {
            if (report.newestVersion() <= tableVersion) {
                agreeing.add(report);
            }
        }
        return newestOfMajority(agreeing, Report::requestedNanos);
    }

    /** Returns since when a majority has reported, by the time of request; null if none has. */
    public @Nullable Long requestedNanos() {
        return newestOfMajority(mReports.values(), Report::requestedNanos);
    }

    /** Returns since when a majority has reported, by the time of arrival; null if none has. */
    public @Nullable Long receivedNanos() {
        return newestOfMajority(mReports.values(), Report::receivedNanos);
    }

    /**
     * Returns the newest version that a majority of the voters has in its log or has replaced by a
     * newer one.
     *
     * @return the version, 0 if no majority has reported
     */
    public long newestOnMajority() {
        Long version = newestOfMajority(mReports.values(), Report::newestVersion);
        return version == null ? 0 : version;
    }

    /**
     * Returns the newest version that cannot be lost any more: a majority has it in a durable log
     * that ends with an entry of their current term. All these logs are copies of the log of that
     * term's leader. A later leader needs the vote of one of them, so it has the table too.
     *
     * @return the version, 0 if the reports show none
     */
    public long newestSettled() {
        return newestSettled(Report::newestVersion);
    }

    /** Returns the newest revision that cannot be lost any more; see {@link #newestSettled()}. */
    public long newestSettledRevision() {
        return newestSettled(Report::settledRevision);
    }

    private long newestSettled(ToLongFunction<Report> value) {
        long newest = 0;
        for (Report candidate : mReports.values()) {
            List<Report> sameTerm = new ArrayList<>();
            for (Report report : mReports.values()) {
                if (report.settledTerm() > 0 && report.settledTerm() == candidate.settledTerm()) {
                    sameTerm.add(report);
                }
            }
            Long settled = newestOfMajority(sameTerm, value);
            newest = settled == null ? newest : Math.max(newest, settled);
        }
        return newest;
    }

    /** Returns whether an instance has reported. */
    public boolean hasReported(String voter) {
        return mReports.containsKey(voter);
    }

    /**
     * Returns whether a voter has a table in its log.
     *
     * @param voter the voter
     * @param tableVersion version of the table
     */
    public boolean hasReported(String voter, long tableVersion) {
        Report report = mReports.get(voter);
        return report != null
                && (report.newestVersion() == tableVersion
                        || report.newerVersions().contains(tableVersion));
    }

    /**
     * Returns the versions of all tables that some voter reports and that may be in force instead
     * of an older one.
     *
     * @param tableVersion version of the older table
     */
    public Set<Long> newerThan(long tableVersion) {
        Set<Long> newer = new TreeSet<>();
        for (Report report : mReports.values()) {
            newer.addAll(report.newerVersions());
            newer.add(report.newestVersion());
        }
        newer.removeIf(version -> version <= tableVersion);
        return newer;
    }

    /**
     * Returns whether the reports of a majority list all tables above a version.
     *
     * @param tableVersion the version
     */
    public boolean isListedAbove(long tableVersion) {
        int majority = majority();
        long listing =
                mReports.values().stream()
                        .filter(report -> report.listedAbove() <= tableVersion)
                        .count();
        return majority > 0 && listing >= majority;
    }

    /** Returns the highest value that a majority of the voters reaches. */
    private @Nullable Long newestOfMajority(
            Collection<Report> reports, ToLongFunction<Report> value) {
        int majority = majority();
        if (majority == 0 || reports.size() < majority) {
            return null;
        }
        List<Long> values = new ArrayList<>();
        for (Report report : reports) {
            values.add(value.applyAsLong(report));
        }
        // Monotonic times may overflow, so only their differences can be compared.
        values.sort((a, b) -> Long.signum(b - a));
        return values.get(majority - 1);
    }
}
