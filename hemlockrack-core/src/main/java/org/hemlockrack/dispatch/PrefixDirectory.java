package org.hemlockrack.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.wire.PrefixUseData;

/**
 * Records which backend servers have recently processed which prompt prefix, as reported by all
 * gateways. A request is sent to such a server even if the rendezvous ranking has changed since, so
 * that servers that join or leave do not invalidate the prefix caches of the others. Not
 * thread-safe; time is monotonic and passed in.
 */
public final class PrefixDirectory {
    /** Maximum number of prefixes; the least recently used one is evicted first. */
    private static final int MAX_PREFIXES = 20_000;

    /** Maximum number of servers per prefix; only overload spreads a prefix over more servers. */
    private static final int MAX_SERVERS = 16;

    /** Age at which a server has most likely evicted the prefix from its cache. */
    private static final long USE_LIFETIME_NANOS = TimeUnit.SECONDS.toNanos(120);

    /** A repeated use within this time is not reported again; a third of the lifetime. */
    private static final long REPORT_INTERVAL_NANOS = USE_LIFETIME_NANOS / 3;

    /** In the order of use; looking up a prefix is no use of it. */
    private final Map<Long, Map<BackendId, Long>> mUses = new LinkedHashMap<>();

    private PrefixDirectory() {}

    /** Creates an empty directory. */
    public static PrefixDirectory create() {
        return new PrefixDirectory();
    }

    /**
     * Records that a server processes a prefix.
     *
     * @param nowNanos monotonic time
     * @param prefixHash hash of the prompt prefix
     * @param server the server
     * @return whether the use should be reported to other gateways
     */
    public boolean recordUse(long nowNanos, long prefixHash, BackendId server) {
        // Insertion order is the order of use: the entry is removed and added again.
        Map<BackendId, Long> known = mUses.remove(prefixHash);
        Map<BackendId, Long> servers = known == null ? new LinkedHashMap<>() : known;
        mUses.put(prefixHash, servers);
        if (mUses.size() > MAX_PREFIXES) {
            mUses.remove(mUses.keySet().iterator().next());
        }
        servers.values().removeIf(usedNanos -> isExpired(nowNanos, usedNanos));
        Long lastNanos = servers.remove(server);
        boolean reportable = lastNanos == null || nowNanos - lastNanos >= REPORT_INTERVAL_NANOS;
        servers.put(server, reportable ? nowNanos : lastNanos);
        if (servers.size() > MAX_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
        return reportable;
    }

    /**
     * Returns the servers that have recently processed a prefix.
     *
     * @param nowNanos monotonic time
     * @param prefixHash hash of the prompt prefix
     * @return the servers, the most recently used one last
     */
    public List<BackendId> holders(long nowNanos, long prefixHash) {
        Map<BackendId, Long> servers = mUses.get(prefixHash);
        List<BackendId> holders = new ArrayList<>();
        if (servers == null) {
            return holders;
        }
        servers.forEach(
                (server, usedNanos) -> {
                    if (!isExpired(nowNanos, usedNanos)) {
                        holders.add(server);
                    }
                });
        return holders;
    }

    private static boolean isExpired(long nowNanos, long usedNanos) {
        return nowNanos - usedNanos >= USE_LIFETIME_NANOS;
    }

    /** Returns all recorded uses. */
    public List<PrefixUseData> allUses() {
        List<PrefixUseData> uses = new ArrayList<>();
        mUses.forEach(
                (prefixHash, servers) ->
                        servers.keySet()
                                .forEach(
                                        server ->
                                                uses.add(
                                                        new PrefixUseData(
                                                                prefixHash, server.value()))));
        return uses;
    }

    /**
     * Removes all servers except the given ones. A server that restarts under the same id has an
     * empty cache.
     *
     * @param present ids of the registered servers
     */
    public void retainServers(Set<BackendId> present) {
        mUses.values().forEach(servers -> servers.keySet().retainAll(present));
    }
}
