package org.hemlockrack.membership;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.membership.internal.GossipProtocol;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;

/**
 * The membership view of one instance, and the gossip protocol that keeps it up to date.
 *
 * <p>All messages are one-way and may be lost, duplicated or reordered. Every message is charged to
 * the control budget; messages that exceed it are deferred. Malformed messages are rejected with
 * {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} from {@link #onEvent} and change nothing.
 */
public final class Membership implements Decider<MembershipInput, MembershipOutput> {
    private final GossipProtocol mProtocol;

    private Membership(GossipProtocol protocol) {
        mProtocol = protocol;
    }

    /**
     * Creates the membership of one instance.
     *
     * @param settings settings
     * @param budget the instance's control budget, which other components may charge as well
     * @param random random source
     * @param nowNanos monotonic time
     * @return the membership
     */
    public static Membership create(
            MembershipSettings settings,
            ControlBudget budget,
            RandomGenerator random,
            long nowNanos) {
        return create(settings, budget, random, GossipRules.standard(), nowNanos);
    }

    /**
     * Creates a membership with other protocol rules, for tests and baselines of benchmarks.
     *
     * @param settings settings
     * @param budget the instance's control budget
     * @param random random source
     * @param rules the rules
     * @param nowNanos monotonic time
     * @return the membership
     */
    public static Membership create(
            MembershipSettings settings,
            ControlBudget budget,
            RandomGenerator random,
            GossipRules rules,
            long nowNanos) {
        return new Membership(new GossipProtocol(settings, budget, random, rules, nowNanos));
    }

    @Override
    public void onEvent(
            long nowNanos, MembershipInput event, Consumer<? super MembershipOutput> out) {
        mProtocol.onEvent(nowNanos, event, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super MembershipOutput> out) {
        mProtocol.onTimer(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        return mProtocol.nextTimerNanos();
    }

    /**
     * Returns the view. The same object is returned until the view changes.
     *
     * @param nowNanos monotonic time
     * @return the view
     */
    public MembershipView view(long nowNanos) {
        return mProtocol.view(nowNanos);
    }

    /**
     * Returns the mean number of requests in flight per backend server of a service, from gossiped
     * loads.
     *
     * @param service the service
     * @return the mean over its servers that are not gone, 0 if it has none
     */
    public double meanInFlight(ServiceId service) {
        return mProtocol.meanInFlight(service);
    }

    /**
     * Returns the last known number of requests in flight at a backend server.
     *
     * @param id the server
     * @return requests in flight, 0 if the server is not known
     */
    public int inFlight(BackendId id) {
        return mProtocol.inFlight(id);
    }

    /** Returns the current gossip period in nanoseconds. */
    public long gossipPeriodNanos() {
        return mProtocol.periodNanos();
    }

    /** Returns the number of rumors that are queued for transmission. */
    public int pendingRumors() {
        return mProtocol.rumorCount();
    }
}
