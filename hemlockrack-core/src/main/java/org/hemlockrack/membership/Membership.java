package org.hemlockrack.membership;

import java.util.function.Consumer;
import java.util.random.RandomGenerator;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.membership.internal.GossipRules;
import org.hemlockrack.membership.internal.Node;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;

/**
 * What one instance knows about the fleet, and the gossip that spreads it.
 *
 * <p>All messages are one way and may be lost, repeated or reordered. Every message is charged to
 * the control budget; what the budget does not allow is deferred. Malformed messages are rejected
 * with {@link org.hemlockrack.errors.ErrorKind#BAD_REQUEST} from {@link #onEvent} and change
 * nothing.
 */
public final class Membership implements Decider<MembershipInput, MembershipOutput> {
    private final Node mNode;

    private Membership(Node node) {
        mNode = node;
    }

    /**
     * Creates the membership of one instance.
     *
     * @param settings settings
     * @param budget the instance's control budget, which other slices may charge as well
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
     * Creates a membership with replaced rules, for tests and baselines of benches.
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
        return new Membership(new Node(settings, budget, random, rules, nowNanos));
    }

    @Override
    public void onEvent(
            long nowNanos, MembershipInput event, Consumer<? super MembershipOutput> out) {
        mNode.onEvent(nowNanos, event, out);
    }

    @Override
    public void onTimer(long nowNanos, Consumer<? super MembershipOutput> out) {
        mNode.onTimer(nowNanos, out);
    }

    @Override
    public long nextTimerNanos() {
        return mNode.nextTimerNanos();
    }

    /**
     * Returns the view. The same object is returned until the view changes.
     *
     * @param nowNanos monotonic time
     * @return the view
     */
    public MembershipView view(long nowNanos) {
        return mNode.view(nowNanos);
    }

    /**
     * Returns the mean in-flight work per backend server of a service, from load summaries.
     *
     * @param service the service
     * @return the mean over its servers that are not gone, 0 if it has none
     */
    public double meanInFlight(ServiceId service) {
        return mNode.meanInFlight(service);
    }

    /**
     * Returns the last known in-flight work of a backend server.
     *
     * @param id the server
     * @return requests in flight, 0 if the server is not known
     */
    public int inFlight(BackendId id) {
        return mNode.inFlight(id);
    }

    /** Returns the current gossip period in nanoseconds. */
    public long gossipPeriodNanos() {
        return mNode.periodNanos();
    }

    /** Returns how many pieces of news wait to be repeated. */
    public int pendingNews() {
        return mNode.rumors();
    }
}
