package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.random.RandomGenerator;
import org.hemlockrack.control.TrafficMove;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.registry.Registration;
import org.jspecify.annotations.Nullable;

/**
 * The server that {@link ServerPool} would choose for a request, and why it would not choose the
 * others.
 *
 * @param choice the choice
 * @param random whether random draws influence the choice, so that the next request may go to
 *     another server
 * @param managed whether queueing and learned capacity apply to the service
 * @param move newest traffic move of the service, or null
 * @param servers all servers of the service, by their ids
 */
public record ChoiceExplanation(
        ServerChoice choice,
        boolean random,
        boolean managed,
        @Nullable TrafficMove move,
        List<Server> servers) {
    /**
     * One seed for all explanations, so that the same question gets the same answer. The draws of
     * the pool itself are not looked at: they must stay the same for the next request.
     */
    private static final long SEED = 1;

    /**
     * A server of the service.
     *
     * @param registration its registration
     * @param load estimated number of requests that all gateways have in progress at it
     * @param maxRequests number of requests at which it is full
     * @param cold whether it counts as cold
     * @param cost terms of its cost, or null if they were not compared
     * @param exclusion why it is not chosen, or null if it is
     */
    public record Server(
            Registration registration,
            int load,
            int maxRequests,
            boolean cold,
            @Nullable ServerCost cost,
            @Nullable ServerExclusion exclusion) {}

    /** Records what becomes of each server. */
    private static final class Recorder implements ChoiceObserver {
        private final Map<ServerSlot, ServerExclusion> mExclusions = new HashMap<>();
        private final Map<ServerSlot, ServerCost> mCosts = new HashMap<>();

        @Override
        public void onExcluded(ServerSlot slot, ServerExclusion reason) {
            mExclusions.put(slot, reason);
        }

        @Override
        public void onCompared(ServerSlot slot, ServerCost cost) {
            mCosts.put(slot, cost);
        }

        @Override
        public void onRemaining(
                Collection<ServerSlot> before,
                Collection<ServerSlot> remaining,
                ServerExclusion reason) {
            Set<ServerSlot> kept = new HashSet<>(remaining);
            for (ServerSlot slot : before) {
                if (!kept.contains(slot)) {
                    mExclusions.put(slot, reason);
                }
            }
        }
    }

    /** Notes whether anything was drawn. */
    private static final class NotingRandom implements RandomGenerator {
        private final RandomGenerator mSource = new SplittableRandom(SEED);
        private boolean mUsed;

        @Override
        public long nextLong() {
            mUsed = true;
            return mSource.nextLong();
        }
    }

    /** Copies the list. */
    public ChoiceExplanation {
        servers = List.copyOf(servers);
    }

    static ChoiceExplanation of(
            ZoneId homeZone, ServerDecision.State state, SelectionCriteria criteria) {
        NotingRandom random = new NotingRandom();
        Recorder recorder = new Recorder();
        ServerDecision decision = ServerDecision.create(homeZone, random);
        ServerChoice choice = decision.decide(state, criteria, recorder).choice();
        List<Server> servers = new ArrayList<>();
        for (ServerSlot slot : state.all()) {
            servers.add(
                    new Server(
                            slot.registration(),
                            slot.load(),
                            UsableServers.maxRequests(
                                    state.nowNanos(), slot, state.spec(), state.managed()),
                            slot.isCold(state.nowNanos()),
                            recorder.mCosts.get(slot),
                            recorder.mExclusions.get(slot)));
        }
        servers.sort(Comparator.comparing(each -> each.registration().id().value()));
        return new ChoiceExplanation(
                choice,
                random.mUsed && choice.candidates() > 1,
                state.managed(),
                state.overrides().move(criteria.service()),
                servers);
    }
}
