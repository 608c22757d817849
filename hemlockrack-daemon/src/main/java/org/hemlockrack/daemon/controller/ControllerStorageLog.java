package org.hemlockrack.daemon.controller;

import org.hemlockrack.daemon.log.DecisionLog;
import org.hemlockrack.daemon.replica.ReplicaStorage;
import org.hemlockrack.errors.HemlockrackException;

/** Writes what happens to the storage of a controller to its log. */
final class ControllerStorageLog implements ReplicaStorage.Listener {
    private final DecisionLog mLog;

    private ControllerStorageLog(DecisionLog log) {
        mLog = log;
    }

    static ControllerStorageLog of(DecisionLog log) {
        return new ControllerStorageLog(log);
    }

    @Override
    public void onDamaged(HemlockrackException cause) {
        mLog.instanceEvent("storage_damaged")
                .put("cause", cause.getMessage())
                .put("action", "joins as a new replica")
                .write();
    }

    @Override
    public void onUnavailable(HemlockrackException cause) {
        mLog.instanceEvent("storage_unavailable")
                .put("cause", cause.getMessage())
                .put("action", "waits")
                .write();
    }

    @Override
    public void onAvailable() {
        mLog.instanceEvent("storage_available").write();
    }
}
