package org.hemlockrack.dispatch;

import org.hemlockrack.capacity.ServerCapacity;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.registry.RegisteredServer;
import org.hemlockrack.registry.Registration;

/** State of one incarnation of a backend server in the pool. */
final class ServerSlot {
    final ServerLoad mLoad = new ServerLoad();
    final ServerHealth mHealth;
    final ColdPacing mColdPacing;
    final ServerStatement mStatement = new ServerStatement();

    final ServerCapacity mCapacity;

    private final long mIdHash;
    private RegisteredServer mServer;

    /**
     * Creates a slot.
     *
     * @param server the server
     * @param nowNanos monotonic time
     * @param capacity learns what the server sustains
     * @param coldPhase number in [0, 1) that spreads the permits of the gateways over an interval
     */
    ServerSlot(RegisteredServer server, long nowNanos, ServerCapacity capacity, double coldPhase) {
        mCapacity = capacity;
        mServer = server;
        mHealth = new ServerHealth(nowNanos);
        mColdPacing = new ColdPacing(coldPhase);
        mIdHash = PromptHash.of(server.registration().id().value());
    }

    Registration registration() {
        return mServer.registration();
    }

    BackendId id() {
        return registration().id();
    }

    /** Adopts a newer entry of the same incarnation. */
    void setServer(RegisteredServer server) {
        mServer = server;
    }

    boolean isCold(long nowNanos) {
        return mServer.isCold(nowNanos);
    }

    /** Returns the estimated number of requests that all gateways have in progress here. */
    int load() {
        return mLoad.requests();
    }

    long idHash() {
        return mIdHash;
    }

    int slots() {
        return Math.max(1, registration().slots());
    }

    void recordDispatch(long nowNanos) {
        mLoad.recordDispatch();
        if (isCold(nowNanos)) {
            mColdPacing.takePermit();
        }
    }

    void recordOutcome(long nowNanos, AttemptOutcome outcome) {
        mLoad.recordEnd();
        mHealth.recordOutcome(nowNanos, outcome);
    }
}
