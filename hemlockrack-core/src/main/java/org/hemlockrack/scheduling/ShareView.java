package org.hemlockrack.scheduling;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

/**
 * Who uses how much of a service at one time, and what each workspace is entitled to.
 *
 * <p>The slots in use are divided by weighted max-min fairness: what a workspace does not demand
 * goes to the others, so that no slot stays free for the sake of fairness.
 */
public final class ShareView {
    /** A view without any request, in which no workspace is above its share. */
    public static final ShareView EMPTY = new Builder(Map.of()).build();

    /**
     * Factor by which a use exceeds another one or a share clearly, although the sums are late.
     * With two slots more, those that use less got fewer of their requests served beside a surge.
     */
    private static final double CLEAR_FACTOR = 1.25;

    private final Map<String, Usage> mUsages;
    private final Map<String, Double> mWeights;
    private final TreeMap<Integer, Map<String, Double>> mWaitingElsewhere;
    private final TreeMap<Integer, Map<String, Double>> mWaiting;
    private final double mRunning;
    private final double mSharePerWeight;

    private static final class Usage {
        private double mRunning;
        private double mDemand;
    }

    /** Collects the requests of a view. */
    static final class Builder {
        private final Map<String, Usage> mUsages = new HashMap<>();
        private final TreeMap<Integer, Map<String, Double>> mWaitingElsewhere = new TreeMap<>();
        private final TreeMap<Integer, Map<String, Double>> mWaiting = new TreeMap<>();
        private final Map<String, Double> mWeights;

        Builder(Map<String, Double> weights) {
            mWeights = weights;
        }

        void addOwn(int rank, String workspace, double running, double waiting) {
            Usage usage = mUsages.computeIfAbsent(workspace, key -> new Usage());
            usage.mRunning += running;
            usage.mDemand += running + waiting;
            addTo(mWaiting, rank, workspace, waiting);
        }

        void addOthers(int rank, String workspace, double running, double waiting) {
            addOwn(rank, workspace, running, waiting);
            addTo(mWaitingElsewhere, rank, workspace, waiting);
        }

        private static void addTo(
                TreeMap<Integer, Map<String, Double>> sums,
                int rank,
                String workspace,
                double waiting) {
            if (waiting > 0) {
                sums.computeIfAbsent(rank, key -> new HashMap<>())
                        .merge(workspace, waiting, Double::sum);
            }
        }

        ShareView build() {
            return new ShareView(this);
        }
    }

    private ShareView(Builder builder) {
        mUsages = builder.mUsages;
        mWeights = builder.mWeights;
        mWaitingElsewhere = builder.mWaitingElsewhere;
        mWaiting = builder.mWaiting;
        mRunning = mUsages.values().stream().mapToDouble(usage -> usage.mRunning).sum();
        mSharePerWeight = sharePerWeight();
    }

    /** Returns the share of weight 1, infinite if no workspace waits. */
    private double sharePerWeight() {
        List<String> byDemand = new ArrayList<>(mUsages.keySet());
        byDemand.sort(Comparator.comparingDouble(this::demandPerWeight));
        double remaining = mRunning;
        double weights = 0;
        for (String workspace : byDemand) {
            weights += weight(workspace);
        }
        for (String workspace : byDemand) {
            double share = remaining / weights;
            if (demandPerWeight(workspace) > share) {
                return share;
            }
            remaining -= mUsages.get(workspace).mDemand;
            weights -= weight(workspace);
        }
        return Double.POSITIVE_INFINITY;
    }

    private double weight(String workspace) {
        return mWeights.getOrDefault(workspace, 1.0);
    }

    private double demandPerWeight(String workspace) {
        return mUsages.get(workspace).mDemand / weight(workspace);
    }

    /** Returns the requests in progress at servers of the service. */
    public double running() {
        return mRunning;
    }

    /**
     * Returns the slots that a workspace is entitled to, infinite if no workspace waits.
     *
     * @param workspace the workspace
     */
    public double share(String workspace) {
        return mSharePerWeight * weight(workspace);
    }

    /**
     * Returns the slots that a workspace uses in relation to its weight.
     *
     * @param workspace the workspace
     */
    public double usagePerWeight(String workspace) {
        Usage usage = mUsages.get(workspace);
        return usage == null ? 0 : usage.mRunning / weight(workspace);
    }

    /**
     * Returns whether a workspace uses more than its share while others wait.
     *
     * @param workspace the workspace
     */
    public boolean isAboveShare(String workspace) {
        return usagePerWeight(workspace) > mSharePerWeight;
    }

    /**
     * Returns whether a workspace uses so much more than its share that it will hardly get a turn
     * soon. Those that use about their share are above it by turns, and a refusal must not depend
     * on the moment.
     *
     * @param workspace the workspace
     */
    public boolean isClearlyAboveShare(String workspace) {
        return usagePerWeight(workspace) > CLEAR_FACTOR * mSharePerWeight;
    }

    /**
     * Returns the class of requests whose turn is decided by retries, usage and age only: one for
     * each rank and for workspaces above their share or not. Lower classes are served first.
     *
     * @param rank priority rank
     * @param workspace the workspace
     */
    public int turnClass(int rank, String workspace) {
        return turnClass(rank, isAboveShare(workspace));
    }

    static int turnClass(int rank, boolean isAboveShare) {
        return 2 * rank + (isAboveShare ? 1 : 0);
    }

    /**
     * Returns how many requests wait at other gateways that precede those of a rank and workspace:
     * more urgent ones, and those of its rank whose workspaces use clearly less. A workspace at its
     * share is held back as well: where the others demand little, the share of a surging one is
     * large, and its requests, which wait everywhere, would take each freed slot before the others
     * see it.
     *
     * @param rank the rank
     * @param workspace the workspace
     */
    public double precedingElsewhere(int rank, String workspace) {
        double preceding = sumOf(mWaitingElsewhere.headMap(rank).values());
        double usage = usagePerWeight(workspace);
        for (Map.Entry<String, Double> each :
                mWaitingElsewhere.getOrDefault(rank, Map.of()).entrySet()) {
            boolean precedes = CLEAR_FACTOR * usagePerWeight(each.getKey()) < usage;
            preceding += precedes ? each.getValue() : 0;
        }
        return preceding;
    }

    /**
     * Returns how many requests of the fleet are served before a new one of a rank and workspace.
     *
     * @param rank the rank
     * @param workspace the workspace
     */
    public double waitingBefore(int rank, String workspace) {
        double before = sumOf(mWaiting.headMap(rank).values());
        Map<String, Double> sameRank = mWaiting.getOrDefault(rank, Map.of());
        boolean isAbove = isAboveShare(workspace);
        List<Double> others = new ArrayList<>();
        for (Map.Entry<String, Double> each : sameRank.entrySet()) {
            boolean isOtherAbove = isAboveShare(each.getKey());
            if (each.getKey().equals(workspace) || isOtherAbove && !isAbove) {
                continue;
            }
            if (isOtherAbove == isAbove) {
                others.add(each.getValue());
            } else {
                before += each.getValue();
            }
        }
        return before + FairTurns.countBefore(sameRank.getOrDefault(workspace, 0.0), others);
    }

    private static double sumOf(Collection<Map<String, Double>> ranks) {
        double sum = 0;
        for (Map<String, Double> workspaces : ranks) {
            sum += workspaces.values().stream().mapToDouble(Double::doubleValue).sum();
        }
        return sum;
    }
}
