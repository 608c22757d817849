package org.hemlockrack.bench;

/** How the instances of {@link SkewBench} decide where a request runs. */
interface SkewPolicy {
    /**
     * Places a request now or keeps it.
     *
     * @param request the request
     */
    void arrive(SkewSimulation.Request request);

    /**
     * Takes the end of a request.
     *
     * @param request the request
     */
    void finished(SkewSimulation.Request request);

    /** Runs every 100 ms of simulated time. */
    void tick();

    /** A server restarted cold; its work is lost. */
    void cold(int server);

    /** An instance was lost. */
    void lost(int instance);

    /** Control bytes sent so far by all instances. */
    long controlBytes();
}
