package org.hemlockrack.bench;

/** Decides for the simulated instances of {@link SkewBench} where a request runs. */
interface SkewPolicy {
    /**
     * Starts, queues or refuses a new request.
     *
     * @param request the request
     */
    void onArrival(SkewSimulation.Request request);

    /**
     * Handles the end of a request.
     *
     * @param request the request
     */
    void onFinished(SkewSimulation.Request request);

    /** Runs every 100 ms of simulated time. */
    void onTick();

    /** Handles the cold restart of a server, whose requests in flight are lost. */
    void onServerRestarted(int server);

    /** Handles the loss of an instance. */
    void onInstanceLost(int instance);

    /** Returns the bytes of control messages that all instances sent so far. */
    long controlBytes();
}
