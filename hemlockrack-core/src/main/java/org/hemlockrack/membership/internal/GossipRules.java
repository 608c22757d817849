package org.hemlockrack.membership.internal;

import java.util.concurrent.TimeUnit;
import org.hemlockrack.membership.Version;

/**
 * The rules of the protocol that tests and benches replace one at a time, to show what each rule
 * prevents. Production code uses {@link #standard()}.
 */
public class GossipRules {
    private static final long NANOS_PER_SECOND = TimeUnit.SECONDS.toNanos(1);
    private static final double TARGET_SMALL_SECONDS = 3;
    private static final double TARGET_FULL_SECONDS = 11;
    private static final double SMALL_FLEET = 8;
    private static final double FULL_FLEET = 330;

    /** Wire bytes of one ping with usual news; two are sent per period (a ping and an answer). */
    private static final double BYTES_PER_PERIOD = 2 * 320;

    private static final long BASE_TRUST_DELAY_NANOS = 5 * NANOS_PER_SECOND;
    private static final int MAX_TRUST_DOUBLINGS = 6;

    /** Creates the standard rules. */
    protected GossipRules() {}

    /** Returns the rules that production code uses. */
    public static GossipRules standard() {
        return new GossipRules();
    }

    /**
     * Returns the gossip period: the target time divided by the rounds an epidemic needs, stretched
     * if it would take more than half of the budget.
     *
     * @param instances fleet size, including self
     * @param refillBytesPerSecond refill of the budget
     * @return the period in nanoseconds
     */
    public long periodNanos(int instances, long refillBytesPerSecond) {
        double size = Math.max(SMALL_FLEET, instances);
        double scale = Math.log(size / SMALL_FLEET) / Math.log(FULL_FLEET / SMALL_FLEET);
        double targetSeconds =
                TARGET_SMALL_SECONDS + (TARGET_FULL_SECONDS - TARGET_SMALL_SECONDS) * scale;
        double rounds = log2(size) + Math.log(size);
        double seconds = targetSeconds / (rounds + 1);
        double leastSeconds = BYTES_PER_PERIOD / (refillBytesPerSecond * 0.5);
        return (long) (Math.max(seconds, leastSeconds) * NANOS_PER_SECOND);
    }

    /** Returns how long a suspected member has to refute. */
    public long suspicionNanos(int instances, long periodNanos) {
        return (long) (periodNanos * (log2(Math.max(SMALL_FLEET, instances)) + 2));
    }

    /** Returns how often an instance repeats one piece of news. */
    public int transmits(int instances) {
        return (int) Math.ceil(log2(instances + 1)) + 3;
    }

    /** Returns whether offered news replaces held news. */
    public boolean supersedes(Version held, Version offered) {
        return offered.compareTo(held) > 0;
    }

    /** Returns whether a group of instances counts as cut off rather than dead. */
    public boolean isGroupUnreachable(int unreachable, int total) {
        return total >= 2 && unreachable * 2 > total;
    }

    /** Returns whether self is cut off from the fleet, so that it must not declare deaths. */
    public boolean isIsolated(int unreachable, int total) {
        return total >= 2 && unreachable * 2 > total;
    }

    /** Returns whether an instance answers news of its own death. */
    public boolean refutes() {
        return true;
    }

    /** Returns whether failed probes are repeated through other members. */
    public boolean probesIndirectly() {
        return true;
    }

    /** Returns whether lost news is repaired by comparing digests. */
    public boolean comparesDigests() {
        return true;
    }

    /** Returns whether urgent news is pushed at once instead of with the next period. */
    public boolean pushesUrgentNews() {
        return true;
    }

    /** Returns whether late timers are taken as a sign that this process was stopped. */
    public boolean detectsFreeze() {
        return true;
    }

    /**
     * Returns how long a member that came back from the dead is passed over as an owner.
     *
     * @param flaps deaths within the memory of the flap count, at least 1
     * @return the delay in nanoseconds, 5 s doubled with each flap up to 320 s
     */
    public long trustDelayNanos(int flaps) {
        return BASE_TRUST_DELAY_NANOS << Math.min(MAX_TRUST_DOUBLINGS, flaps - 1);
    }

    private static double log2(double value) {
        return Math.log(value) / Math.log(2);
    }
}
