package org.hemlockrack.daemon.replica;

import java.nio.file.Path;
import org.hemlockrack.daemon.log.EventLog;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.events.LogEvent;

/** Writes what happens to the storage of an instance of the full role to its event log. */
public final class ReplicaStorageLog implements ReplicaStorage.Listener {
    private final EventLog mLog;
    private final Path mFolder;

    private ReplicaStorageLog(EventLog log, Path folder) {
        mLog = log;
        mFolder = folder;
    }

    /**
     * Returns the log of a storage.
     *
     * @param log the event log
     * @param folder the data folder
     * @return the log
     */
    public static ReplicaStorageLog of(EventLog log, Path folder) {
        return new ReplicaStorageLog(log, folder);
    }

    @Override
    public void onDamaged(HemlockrackException cause) {
        mLog.log(LogEvent.STORAGE_REFUSED, "%s: %s", mFolder, cause.getMessage());
        mLog.log(LogEvent.REPLICA_REJOINED, "%s starts as a new replica", mFolder);
    }

    @Override
    public void onUnavailable(HemlockrackException cause) {
        mLog.log(LogEvent.REPLICA_SUSPENDED, "the start waits: %s", cause.getMessage());
    }

    @Override
    public void onAvailable() {
        mLog.log(LogEvent.REPLICA_RESUMED, "the start goes on");
    }
}
