package org.hemlockrack.daemon;

import org.hemlockrack.burn.LatencySample;
import org.hemlockrack.burn.MissContext;
import org.hemlockrack.daemon.burn.BurnService;
import org.hemlockrack.daemon.entry.CallerRequest;
import org.hemlockrack.daemon.entry.RequestObserver;
import org.hemlockrack.daemon.fleet.FleetMembership;
import org.hemlockrack.daemon.rollout.RolloutService;
import org.hemlockrack.membership.Backend;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.placement.PlacementChoice;
import org.hemlockrack.rollout.EvidenceEvent;
import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.TrafficSegment;

/** Records request outcomes as evidence for roll-outs and in the burn accounts. */
final class RequestStatsRecorder implements RequestObserver {
    private final FleetMembership mFleet;
    private final RolloutService mRollouts;
    private final BurnService mBurn;

    RequestStatsRecorder(FleetMembership fleet, RolloutService rollouts, BurnService burn) {
        mFleet = fleet;
        mRollouts = rollouts;
        mBurn = burn;
    }

    @Override
    public void onFirstByte(CallerRequest request, PlacementChoice choice, long firstByteNanos) {
        mRollouts.recordEvidence(
                new EvidenceEvent.RequestAnswered(
                        choice.service(),
                        choice.modelVersion(),
                        new TrafficSegment(request.workspace(), request.kind()),
                        loadLevel(choice.backend()),
                        firstByteNanos));
    }

    @Override
    public void onBackendFailed(CallerRequest request, PlacementChoice choice) {
        mRollouts.recordEvidence(
                new EvidenceEvent.RequestFailed(
                        choice.service(),
                        choice.modelVersion(),
                        new TrafficSegment(request.workspace(), request.kind()),
                        loadLevel(choice.backend())));
    }

    private LoadLevel loadLevel(BackendId id) {
        int limit = mFleet.view().backend(id).map(Backend::limit).orElse(1);
        return LoadLevel.of((double) mFleet.inFlight(id) / Math.max(1, limit));
    }

    @Override
    public void onFinished(CallerRequest request, LatencySample sample, MissContext context) {
        mBurn.recordRequest(
                request.workspace(), request.workspaceConfig().latencyObjective(), sample, context);
    }
}
