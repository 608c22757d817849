package org.hemlockrack.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

/**
 * What each workspace uses of one service: the fleet's sums as controllers report them, and the
 * part of this gateway, which is always current. Not thread-safe.
 *
 * <p>Sums that are not renewed fade out. What remains is the view of this gateway, in which the
 * slots that it uses itself are split evenly, or by weight, between its own workspaces.
 */
public final class WorkspaceShares {
    /** Age up to which sums count in full; four exchanges with a controller. */
    private static final long FRESH_NANOS = TimeUnit.SECONDS.toNanos(1);

    /** Age from which sums no longer count; a controller drops silent gateways at this age. */
    private static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(4);

    private final Map<Key, Counts> mOwn = new HashMap<>();
    private Map<Key, Counts> mOthers = Map.of();
    private Map<String, Double> mWeights = Map.of();
    private long mAdoptedNanos;
    private boolean mHasSums;
    private int mGateways;

    private record Key(int rank, String workspace) {}

    private static final class Counts {
        private int mRunning;
        private int mWaiting;

        private boolean isZero() {
            return mRunning == 0 && mWaiting == 0;
        }
    }

    private WorkspaceShares() {}

    /** Creates the shares of a gateway that knows of no requests. */
    public static WorkspaceShares create() {
        return new WorkspaceShares();
    }

    /**
     * Replaces the weights of workspaces.
     *
     * @param weights weights above 0 by workspace; 1 for those that are absent
     */
    public void setWeights(Map<String, Double> weights) {
        mWeights = Map.copyOf(weights);
    }

    /** Records that requests of this gateway began to run, or ended if the number is negative. */
    public void addRunning(int rank, String workspace, int change) {
        Counts counts = own(rank, workspace);
        counts.mRunning = Math.max(0, counts.mRunning + change);
        removeIfZero(rank, workspace, counts);
    }

    /** Records that requests of this gateway began to wait, or left if the number is negative. */
    public void addWaiting(int rank, String workspace, int change) {
        Counts counts = own(rank, workspace);
        counts.mWaiting = Math.max(0, counts.mWaiting + change);
        removeIfZero(rank, workspace, counts);
    }

    private Counts own(int rank, String workspace) {
        return mOwn.computeIfAbsent(new Key(rank, workspace), key -> new Counts());
    }

    private void removeIfZero(int rank, String workspace, Counts counts) {
        if (counts.isZero()) {
            mOwn.remove(new Key(rank, workspace));
        }
    }

    /** Returns the requests of this gateway, without entries of only zeros. */
    public List<WorkspaceUsage> own() {
        List<WorkspaceUsage> usages = new ArrayList<>(mOwn.size());
        mOwn.forEach(
                (key, counts) ->
                        usages.add(
                                new WorkspaceUsage(
                                        key.rank(),
                                        key.workspace(),
                                        counts.mRunning,
                                        counts.mWaiting)));
        return usages;
    }

    /**
     * Adopts the sums of a controller. While recent sums are known, those of a controller that has
     * heard from less than half as many gateways are ignored: it has just started.
     *
     * @param nowNanos monotonic time
     * @param fleet sums over all gateways
     * @param ownAtReport the part of this gateway in the sums
     * @param gateways number of gateways in the sums
     */
    public void adoptSums(
            long nowNanos,
            Collection<WorkspaceUsage> fleet,
            Collection<WorkspaceUsage> ownAtReport,
            int gateways) {
        if (2 * gateways < mGateways && freshness(nowNanos) > 0) {
            return;
        }
        Map<Key, Counts> others = new HashMap<>();
        for (WorkspaceUsage each : fleet) {
            Counts counts = new Counts();
            counts.mRunning = each.running();
            counts.mWaiting = each.waiting();
            others.put(new Key(each.rank(), each.workspace()), counts);
        }
        for (WorkspaceUsage each : ownAtReport) {
            Counts counts = others.get(new Key(each.rank(), each.workspace()));
            if (counts != null) {
                counts.mRunning = Math.max(0, counts.mRunning - each.running());
                counts.mWaiting = Math.max(0, counts.mWaiting - each.waiting());
            }
        }
        mOthers = others;
        mAdoptedNanos = nowNanos;
        mGateways = gateways;
        mHasSums = true;
    }

    /** Returns how much the sums of the other gateways count, from 0 to 1. */
    private double freshness(long nowNanos) {
        if (!mHasSums) {
            return 0;
        }
        long ageNanos = nowNanos - mAdoptedNanos;
        double left = (double) (EXPIRY_NANOS - ageNanos) / (EXPIRY_NANOS - FRESH_NANOS);
        return Math.max(0, Math.min(1, left));
    }

    /**
     * Returns who uses how much now, for decisions at this time.
     *
     * @param nowNanos monotonic time
     * @return the view
     */
    public ShareView view(long nowNanos) {
        ShareView.Builder builder = new ShareView.Builder(mWeights);
        mOwn.forEach(
                (key, counts) ->
                        builder.addOwn(
                                key.rank(), key.workspace(), counts.mRunning, counts.mWaiting));
        double freshness = freshness(nowNanos);
        if (freshness > 0) {
            mOthers.forEach(
                    (key, counts) ->
                            builder.addOthers(
                                    key.rank(),
                                    key.workspace(),
                                    counts.mRunning * freshness,
                                    counts.mWaiting * freshness));
        }
        return builder.build();
    }
}
