package org.hemlockrack.daemon.entry;

import org.hemlockrack.burn.LatencySample;
import org.hemlockrack.burn.MissContext;
import org.hemlockrack.placement.PlacementChoice;

/** Receives the outcomes of requests. Called on the loop. */
public interface RequestObserver {
    /**
     * A backend server sent the first bytes of an answer.
     *
     * @param request the request
     * @param choice the server and version
     * @param firstByteNanos time from the start of the attempt
     */
    void onFirstByte(CallerRequest request, PlacementChoice choice, long firstByteNanos);

    /**
     * A backend server failed a request.
     *
     * @param request the request
     * @param choice the server and version
     */
    void onBackendFailed(CallerRequest request, PlacementChoice choice);

    /**
     * A request has ended.
     *
     * @param request the request
     * @param sample its latencies
     * @param missContext circumstances that may explain a missed latency objective
     */
    void onFinished(CallerRequest request, LatencySample sample, MissContext missContext);
}
