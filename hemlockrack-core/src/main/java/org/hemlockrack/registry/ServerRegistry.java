package org.hemlockrack.registry;

import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.wire.ServerData;
import org.jspecify.annotations.Nullable;

/**
 * The registered backend servers. Controllers fill it from heartbeats and from each other, gateways
 * from controllers. Entries are ordered by incarnation and sequence number, so late heartbeats
 * change nothing. Not thread-safe; time is monotonic and passed in.
 */
public final class ServerRegistry {
    /**
     * Time without a heartbeat after which a server is dropped. Heartbeats come every 1 to 2 s and
     * may be seconds late; gateways detect a crash earlier by its connections.
     */
    public static final long EXPIRY_NANOS = TimeUnit.SECONDS.toNanos(8);

    /** Heartbeats that change nothing are passed on this rarely, to save control traffic. */
    private static final long REFRESH_NANOS = TimeUnit.SECONDS.toNanos(2);

    /** Bounds what heartbeats of strangers can make an instance store. */
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

    /** Returns the revision that the newest change made. */
    public long revision() {
        return mRevision;
    }

    /**
     * Notes a heartbeat.
     *
     * @param nowNanos monotonic time
     * @param registration the heartbeat
     * @param ageMillis time since a controller received it
     * @return false if it is older than what is known, or the registry is full
     */
    public boolean recordHeartbeat(long nowNanos, Registration registration, long ageMillis) {
        long heardNanos = nowNanos - TimeUnit.MILLISECONDS.toNanos(ageMillis);
        long coldUntilNanos = nowNanos + TimeUnit.MILLISECONDS.toNanos(registration.coldMillis());
        RegisteredServer server = new RegisteredServer(registration, heardNanos, coldUntilNanos);
        Entry entry = mEntries.get(registration.id());
        if (entry == null) {
            if (mEntries.size() >= MAX_SERVERS) {
                return false;
            }
            mEntries.put(registration.id(), new Entry(server, nowNanos, ++mRevision));
            return true;
        }
        Registration known = entry.mServer.registration();
        if (!registration.isAfter(known)) {
            return false;
        }
        entry.mServer = server;
        boolean due = nowNanos - entry.mPublishedNanos >= REFRESH_NANOS;
        if (due || registration.differsFrom(known)) {
            entry.mPublishedNanos = nowNanos;
            entry.mRevision = ++mRevision;
        }
        return true;
    }

    /**
     * Notes what a controller replied.
     *
     * @param nowNanos monotonic time
     * @param servers the servers
     */
    public void mergeAll(long nowNanos, List<ServerData> servers) {
        for (ServerData each : servers) {
            recordHeartbeat(nowNanos, Registration.of(each), each.getAgeMillis());
        }
    }

    /**
     * Drops servers whose heartbeats have stopped.
     *
     * @param nowNanos monotonic time
     * @return the dropped servers
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
     * @return the server, or null
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

    /**
     * Returns what has changed.
     *
     * @param nowNanos monotonic time
     * @param revision revision up to which the receiver is up to date, 0 for nothing
     * @return the servers that changed later
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
