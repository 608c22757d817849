package org.hemlockrack.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.wire.ServerData;
import org.jspecify.annotations.Nullable;

/**
 * Registry of the backend servers. Controllers update it from heartbeats and from other
 * controllers, gateways from controllers. Heartbeats of a server are ordered by incarnation and
 * sequence number, so those that arrive late have no effect. Not thread-safe; time is monotonic and
 * passed in.
 */
public final class ServerRegistry {
    /**
     * Time without a heartbeat after which a server is removed. Heartbeats are sent every 1 to 2 s
     * and may arrive seconds late; gateways detect a crash earlier by failed connections.
     */
    public static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Shortest time between two revisions for unchanged heartbeats, to limit control traffic. */
    private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Bounds the memory that heartbeats from unknown senders can use. */
    private static final int MAX_SERVERS = 4_096;

    private final Map<BackendId, Entry> mEntries = new HashMap<>();
    private long mRevision;

    private static final class Entry {
        private RegisteredServer mServer;
        private long mPublishedNanos;
        private long mRevision;

        Entry(RegisteredServer server, long nowNanos, long revision) {
            mServer = server;
            mPublishedNanos = nowNanos;
            mRevision = revision;
        }
    }

    private ServerRegistry() {}

    /** Creates an empty registry. */
    public static ServerRegistry create() {
        return new ServerRegistry();
    }

    /** Returns the revision of the newest change. */
    public long revision() {
        return mRevision;
    }

    /**
     * Records a heartbeat.
     *
     * @param nowNanos monotonic time
     * @param registration the heartbeat
     * @param ageMillis time since a controller received it
     * @return false if a heartbeat that is as new or newer is already recorded, or the registry is
     *     full
     */
    public boolean recordHeartbeat(long nowNanos, Registration registration, long ageMillis) {
        long receivedNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        long coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(registration.coldMillis());
        RegisteredServer server = new RegisteredServer(registration, receivedNanos, coldUntilNanos);
        Entry entry = mEntries.get(registration.id());
        if (entry == null) {
            if (mEntries.size() >= MAX_SERVERS) {
                return false;
            }
            mEntries.put(registration.id(), new Entry(server, nowNanos, ++mRevision));
            return true;
        }
        Registration known = entry.mServer.registration();
        if (!registration.isNewerThan(known)) {
            return false;
        }
        entry.mServer = server;
        boolean refreshDue = nowNanos - entry.mPublishedNanos >= REFRESH_NANOS;
        if (refreshDue || registration.requiresUpdateOf(known)) {
            entry.mPublishedNanos = nowNanos;
            entry.mRevision = ++mRevision;
        }
        return true;
    }

    /**
     * Records the entries that a controller returned. Entries that are not valid are left out, as
     * an instance of another version may have accepted them.
     *
     * @param nowNanos monotonic time
     * @param servers the servers
     * @return the number of entries that were left out
     */
    public int mergeAll(long nowNanos, List<ServerData> servers) {
        int leftOut = 0;
        for (ServerData entry : servers) {
            Registration registration;
            try {
                registration = Registration.fromData(entry);
            } catch (HemlockrackException e) {
                leftOut++;
                continue;
            }
            recordHeartbeat(nowNanos, registration, entry.getAgeMillis());
        }
        return leftOut;
    }

    /**
     * Removes servers without a heartbeat for {@link #EXPIRY_NANOS}.
     *
     * @param nowNanos monotonic time
     * @return the removed servers
     */
    public List<RegisteredServer> removeExpired(long nowNanos) {
        List<RegisteredServer> dropped = new ArrayList<>();
        Iterator<Entry> entries = mEntries.values().iterator();
        while (entries.hasNext()) {
            RegisteredServer server = entries.next().mServer;
            if (nowNanos - server.receivedNanos() >= EXPIRY_NANOS) {
                dropped.add(server);
                entries.remove();
            }
        }
        return dropped;
    }

    /**
     * Finds a server.
     *
     * @param id its id
     * @return the server, or null if it is not registered
     */
    public @Nullable RegisteredServer find(BackendId id) {
        Entry entry = mEntries.get(id);
        return entry == null ? null : entry.mServer;
    }

    /** Returns all servers. */
    public Collection<RegisteredServer> servers() {
        List<RegisteredServer> all = new ArrayList<>(mEntries.size());
        mEntries.values().forEach(entry -> all.add(entry.mServer));
        return all;
    }

    /** Returns the servers that run and do not leave. */
    public List<Registration> runningServers() {
        List<Registration> running = new ArrayList<>(mEntries.size());
        for (Entry entry : mEntries.values()) {
            Registration registration = entry.mServer.registration();
            if (!registration.leaving()) {
                running.add(registration);
            }
        }
        return running;
    }

    /**
     * Returns the servers that changed after a revision.
     *
     * @param nowNanos monotonic time
     * @param revision revision that the receiver has applied, 0 for none
     * @return the changed servers
     */
    public List<ServerData> changesSince(long nowNanos, long revision) {
        List<ServerData> changed = new ArrayList<>();
        for (Entry entry : mEntries.values()) {
            if (entry.mRevision <= revision) {
                continue;
            }
            RegisteredServer server = entry.mServer;
            long coldNanos = Math.max(0, server.coldUntilNanos() - nowNanos);
            changed.add(
                    server.registration()
                            .toData(
                                    TimeUnit.NANOSECONDS.toMillis(coldNanos),
                                    TimeUnit.NANOSECONDS.toMillis(
                                            nowNanos - server.receivedNanos())));
        }
        return changed;
    }
}
