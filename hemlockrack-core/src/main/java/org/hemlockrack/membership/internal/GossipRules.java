package org.hemlockrack.membership.internal;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.membership.Version;

/**
 * Rules of the gossip protocol. Tests and benchmarks override them one at a time, to show what each
 * rule prevents. Production code uses {@link #standard()}.
 */
public class GossipRules {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double SMALL_FLEET_SECONDS = 3;
    private static final double FULL_FLEET_SECONDS = 11;
    private static final double SMALL_FLEET_INSTANCES = 8;
    private static final double FULL_FLEET_INSTANCES = 330;

    /**
     * Wire bytes per period: a ping and an acknowledgement with a usual number of rumors, 320 bytes
     * each.
     */
    private static final double BYTES_PER_PERIOD = 2 * 320;

    private static final long BASE_DAMPING_NANOS = 5 * NANOS_PER_SECOND;
    private static final int MAX_DAMPING_DOUBLINGS = 6;

    /** Creates the standard rules. */
    protected GossipRules() {}

    /** Returns the rules that production code uses. */
    public static GossipRules standard() {
        return new GossipRules();
    }

    /**
     * Returns the gossip period: the target time for reaching the whole fleet, divided by the
     * number of rounds that an epidemic broadcast needs. The period is longer if the messages would
     * otherwise take more than half of the budget.
     *
     * @param instances fleet size, including self
     * @param refillBytesPerSecond refill of the budget
     * @return the period in nanoseconds
     */
    public long periodNanos(int instances, long refillBytesPerSecond) {
        double size = Math.max(SMALL_FLEET_INSTANCES, instances);
        double sizeFactor =
                Math.log(size / SMALL_FLEET_INSTANCES)
                        / Math.log(FULL_FLEET_INSTANCES / SMALL_FLEET_INSTANCES);
        double targetSeconds =
                SMALL_FLEET_SECONDS + (FULL_FLEET_SECONDS - SMALL_FLEET_SECONDS) * sizeFactor;
        double rounds = log2(size) + Math.log(size);
        double seconds = targetSeconds / (rounds + 1);
        double minSeconds = BYTES_PER_PERIOD / (refillBytesPerSecond * 0.5);
        return (long) (Math.max(seconds, minSeconds) * NANOS_PER_SECOND);
    }

    /** Returns how long a suspected member has to refute the suspicion. */
    public long suspicionNanos(int instances, long periodNanos) {
        return (long) (periodNanos * (log2(Math.max(SMALL_FLEET_INSTANCES, instances)) + 2));
    }

    /** Returns how often an instance transmits one rumor. */
    public int retransmitLimit(int instances) {
        return (int) Math.ceil(log2(instances + 1)) + 3;
    }

    /** Returns whether a received version replaces the stored one. */
    public boolean supersedes(Version stored, Version received) {
        return received.compareTo(stored) > 0;
    }

    /** Returns whether the instances of a zone or region count as partitioned rather than dead. */
    public boolean isGroupUnreachable(int unreachable, int total) {
        return total >= 2 && unreachable * 2 > total;
    }

    /**
     * Returns whether self is isolated from the fleet, so that it must not declare members dead.
     */
    public boolean isIsolated(int unreachable, int total) {
        return total >= 2 && unreachable * 2 > total;
    }

    /** Returns whether an instance refutes reports that it is suspected or dead. */
    public boolean refutesOwnDeath() {
        return true;
    }

    /** Returns whether failed probes are repeated indirectly through other members. */
    public boolean probesIndirectly() {
        return true;
    }

    /** Returns whether lost updates are repaired by comparing digests. */
    public boolean comparesDigests() {
        return true;
    }

    /** Returns whether urgent rumors are pushed at once instead of with the next round. */
    public boolean pushesUrgentRumors() {
        return true;
    }

    /** Returns whether a late timer is taken as a sign that this process was paused. */
    public boolean detectsPauses() {
        return true;
    }

    /**
     * Returns how long flap damping keeps a member that returned after its death from becoming an
     * owner.
     *
     * @param flaps recent returns of the member, this one included, at least 1
     * @return the delay in nanoseconds, 5 s doubled with each flap up to 320 s
     */
    public long flapDampingNanos(int flaps) {
        return BASE_DAMPING_NANOS << Math.min(MAX_DAMPING_DOUBLINGS, flaps - 1);
    }

    private static double log2(double value) {
        return Math.log(value) / Math.log(2);
    }
}
