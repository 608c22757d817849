package org.hemlockrack.bench;

/** How the instances of {@link SkewBench} decide where a request runs. */
interface SkewPolicy {
    /**
     * Places a request now or keeps it.
     *
     * @param request the request
     */
    void onArrival(SkewSimulation.Request request);

    /**
     * Takes the end of a request.
     *
     * @param request the request
     */
    void onFinished(SkewSimulation.Request request);

    /** Runs every 100 ms of simulated time. */
    void onTick();

    /** A server restarted cold; its work is lost. */
    void onServerRestarted(int server);

    /** An instance was lost. */
    void onInstanceLost(int instance);

    /** Control bytes sent so far by all instances. */
    long controlBytes();
}
