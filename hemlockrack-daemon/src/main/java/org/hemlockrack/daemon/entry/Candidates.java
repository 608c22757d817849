package org.hemlockrack.daemon.entry;

import java.util.ArrayList;
import java.util.List;
import java.util.function.ToIntFunction;
import org.hemlockrack.config.Configuration;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.membership.MembershipView;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.placement.Candidate;
import org.hemlockrack.placement.CandidateState;

/** Creates candidates for placement from the backend servers of the membership view. */
final class Candidates {
    /** Version name of plain services, which have no versions. */
    private static final String NO_VERSION = "none";

    private Candidates() {}

    static List<Candidate> of(
            MembershipView view,
            Configuration configuration,
            RolloutService rollouts,
            ToIntFunction<BackendId> inFlight) {
        List<Candidate> candidates = new ArrayList<>();
        for (Backend backend : view.backends().values()) {
            List<ModelVersion> models = backend.models();
            if (models.isEmpty()) {
                models = List.of(ModelVersion.of(backend.service().value(), NO_VERSION));
            }
            for (ModelVersion model : models) {
                candidates.add(candidate(backend, model, configuration, rollouts, inFlight));
            }
        }
        return candidates;
    }

    private static Candidate candidate(
            Backend backend,
            ModelVersion model,
            Configuration configuration,
            RolloutService rollouts,
            ToIntFunction<BackendId> inFlight) {
        return new Candidate(
                backend.service(),
                backend.id(),
                backend.version().epoch(),
                model,
                backend.zone(),
                configuration.isZoneInService(backend.zone()),
                state(backend),
                Math.max(1, backend.limit()),
                rollouts.permittedShare(backend.service(), model),
                inFlight.applyAsInt(backend.id()),
                backend.limit(),
                0,
                0);
    }

    private static CandidateState state(Backend backend) {
        return switch (backend.state()) {
            case READY -> CandidateState.READY;
            case LEAVING -> CandidateState.LEAVING;
            case GONE -> CandidateState.NOT_LIVE;
        };
    }
}
