package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.List;
import java.util.random.RandomGenerator;
import org.hemlockrack.capacity.ServiceDelays;
import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ZoneId;
import org.hemlockrack.routing.ServiceSpec;
import org.jspecify.annotations.Nullable;

/**
 * Decides which server a request goes to. Changes nothing except its source of randomness, so that
 * an explanation with another source makes the same decision without an effect.
 */
final class ServerDecision {
    private final RandomGenerator mRandom;
    private final LoadLeveling mLoadLeveling;
    private final LeastDelay mLeastDelay;

    /**
     * State that a decision depends on.
     *
     * @param nowNanos monotonic time
     * @param all all servers of the service
     * @param overrides evacuated zones, traffic moves and departures
     * @param zones reachability of the zones
     * @param spec configuration of the service, or null if it is not known
     * @param managed whether the learned capacity applies
     * @param gateways number of gateways that share the limits of a server
     * @param unreportedRequests requests that the fleet sends to the service while a report ages
     * @param affinity known prefix uses
     * @param delays times of the service
     */
    record State(
            long nowNanos,
            List<ServerSlot> all,
            RoutingOverrides overrides,
            ZoneReachability zones,
            @Nullable ServiceSpec spec,
            boolean managed,
            int gateways,
            double unreportedRequests,
            PrefixAffinity affinity,
            ServiceDelays delays) {}

    /**
     * A decision.
     *
     * @param choice the choice
     * @param paced cold servers whose rate limit was checked for it
     */
    record Result(ServerChoice choice, List<ServerSlot> paced) {
        private static Result none(ServerChoice choice) {
            return new Result(choice, List.of());
        }
    }

    private ServerDecision(ZoneId homeZone, RandomGenerator random) {
        mRandom = random;
        mLeastDelay = new LeastDelay(homeZone, random);
        mLoadLeveling = new LoadLeveling(homeZone, random);
    }

    static ServerDecision create(ZoneId homeZone, RandomGenerator random) {
        return new ServerDecision(homeZone, random);
    }

    Result decide(State state, SelectionCriteria criteria, ChoiceObserver observer) {
        long nowNanos = state.nowNanos();
        List<ServerSlot> eligible =
                UsableServers.eligible(
                        nowNanos,
                        state.all(),
                        state.overrides(),
                        state.zones(),
                        criteria,
                        observer);
        if (eligible.isEmpty()) {
            return Result.none(ServerChoice.none(ServerChoice.Reason.NO_SERVER));
        }
        List<ServerSlot> accepting = new ArrayList<>();
        long shortestRestNanos = Long.MAX_VALUE;
        for (ServerSlot slot : eligible) {
            long restNanos = slot.mStatement.remainingRestNanos(nowNanos);
            if (restNanos == 0) {
                accepting.add(slot);
            } else {
                observer.onExcluded(slot, ServerExclusion.RESTING);
            }
            shortestRestNanos = Math.min(shortestRestNanos, restNanos);
        }
        if (accepting.isEmpty()) {
            return Result.none(ServerChoice.allResting(shortestRestNanos));
        }
        List<ServerSlot> unrejecting = UsableServers.withoutRejecting(nowNanos, accepting);
        observer.onRemaining(accepting, unrejecting, ServerExclusion.REJECTING);
        List<ServerSlot> available =
                UsableServers.withCapacity(nowNanos, unrejecting, state.spec(), state.managed());
        observer.onRemaining(unrejecting, available, ServerExclusion.FULL);
        if (available.isEmpty()) {
            return Result.none(ServerChoice.none(ServerChoice.Reason.ALL_FULL));
        }
        return decideAmong(state, available, criteria, observer);
    }

    private Result decideAmong(
            State state,
            List<ServerSlot> available,
            SelectionCriteria criteria,
            ChoiceObserver observer) {
        long nowNanos = state.nowNanos();
        List<ServerSlot> paced = UsableServers.paced(nowNanos, available, state.spec());
        List<ServerSlot> usable =
                UsableServers.withColdCapacity(nowNanos, available, state.spec(), state.gateways());
        observer.onRemaining(available, usable, ServerExclusion.COLD);
        if (usable.isEmpty()) {
            return new Result(ServerChoice.none(ServerChoice.Reason.ALL_COLD), paced);
        }
        List<ServerSlot> healthy = UsableServers.withoutFailing(nowNanos, usable);
        observer.onRemaining(usable, healthy, ServerExclusion.FAILING);
        long key = criteria.affinityKey();
        ServerChoice choice;
        if (state.managed()) {
            List<BackendId> holders =
                    key == 0 ? List.of() : state.affinity().holders(nowNanos, key);
            choice =
                    mLeastDelay.choose(
                            nowNanos,
                            state.all(),
                            healthy,
                            criteria,
                            holders,
                            state.delays(),
                            observer);
        } else if (key == 0) {
            choice = mLoadLeveling.choose(healthy, state.unreportedRequests(), observer);
        } else {
            choice =
                    state.affinity().choose(nowNanos, state.all(), healthy, key, mRandom, observer);
        }
        return new Result(choice, paced);
    }
}
