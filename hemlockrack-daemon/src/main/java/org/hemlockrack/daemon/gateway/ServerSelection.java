package org.hemlockrack.daemon.gateway;

import java.util.Set;
import org.hemlockrack.daemon.metrics.MetricName;
import org.hemlockrack.dispatch.ChoiceExplanation;
import org.hemlockrack.dispatch.PromptHash;
import org.hemlockrack.dispatch.SelectionCriteria;
import org.hemlockrack.dispatch.ServerChoice;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.routing.Route;

/** Chooses servers for the attempts of one exchange. */
final class ServerSelection {
    private final GatewayContext mContext;
    private final ServiceId mService;
    private final String mRouteName;
    private final long mPrefixHash;
    private final double mRoutingFraction;

    ServerSelection(
            GatewayContext context, Route route, ServiceId service, RequestMetadata metadata) {
        mContext = context;
        mService = service;
        mRouteName = route.name();
        mPrefixHash =
                route.prefixAffinity() ? PromptHash.ofSharedPrefix(metadata.promptPartIds()) : 0;
        mRoutingFraction = PromptHash.toUnitInterval(metadata.attemptId());
    }

    /**
     * Chooses a server, and counts the choice.
     *
     * @param triedServers servers that the request was sent to before
     * @param isRepeated whether the request waits and was counted when it found no free slot
     */
    ServerChoice choose(long nowNanos, Set<BackendId> triedServers, boolean isRepeated) {
        ServerChoice choice = mContext.state().choose(nowNanos, criteria(triedServers));
        if (!isRepeated || choice.reason() != ServerChoice.Reason.ALL_FULL) {
            mContext.metrics()
                    .increment(MetricName.SERVER_CHOICES, "reason", choice.reason().name());
        }
        return choice;
    }

    /** Returns which server a first attempt would get. Counts and changes nothing. */
    ChoiceExplanation explain(long nowNanos) {
        return mContext.state().explain(nowNanos, criteria(Set.of()));
    }

    private SelectionCriteria criteria(Set<BackendId> triedServers) {
        return new SelectionCriteria(
                mService, mPrefixHash, mRoutingFraction, Set.copyOf(triedServers), mRouteName);
    }

    /** Returns the error of a request that has not run and for which no server was found. */
    static ErrorKind refusalKind(ServerChoice choice) {
        return choice.reason() == ServerChoice.Reason.NO_SERVER
                ? ErrorKind.NO_BACKEND
                : ErrorKind.OVERLOADED;
    }
}
