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
 * Which backend servers have read which prompt parts lately, as all gateways report it. A request
 * goes to such a server even if the ranking has changed since, so servers that come and go do not
 * make others read the same parts again. Not thread-safe; time is monotonic and passed in.
 */
public final class PrefixDirectory {
    /** Prefixes that are remembered; the least recently used one is dropped first. */
    private static final int MAX_PREFIXES = 20_000;

    /** Servers remembered for one prefix; more copies than this come from overload only. */
    private static final int MAX_SERVERS = 4;

    /** A use is older than this once the server's memory has most likely turned over. */
    private static final long KEPT_NANOS = TimeUnit.SECONDS.toNanos(120);

    /** A use that was noted within this time is no news; a third of the time that it is kept. */
    private static final long NEWS_NANOS = KEPT_NANOS / 3;

    private final Map<Long, Map<BackendId, Long>> mUses =
            new LinkedHashMap<>(16, 0.75f, true) {
                private static final long serialVersionUID = 1L;

                @Override
                protected boolean removeEldestEntry(Map.Entry<Long, Map<BackendId, Long>> e) {
                    return size() > MAX_PREFIXES;
                }
            };

    private PrefixDirectory() {}

    /** Creates an empty directory. */
    public static PrefixDirectory create() {
        return new PrefixDirectory();
    }

    /**
     * Notes that a server reads a prefix.
     *
     * @param nowNanos monotonic time
     * @param prefixHash hash of the prompt parts
     * @param server the server
     * @return whether this is news that others should learn
     */
    public boolean recordUse(long nowNanos, long prefixHash, BackendId server) {
        Map<BackendId, Long> servers =
                mUses.computeIfAbsent(prefixHash, key -> new LinkedHashMap<>());
        Long lastNanos = servers.remove(server);
        boolean news = lastNanos == null || nowNanos - lastNanos >= NEWS_NANOS;
        // The order of insertion is the order of use.
        servers.put(server, news ? nowNanos : lastNanos);
        if (servers.size() > MAX_SERVERS) {
            servers.remove(servers.keySet().iterator().next());
        }
        return news;
    }

    /**
     * Finds the servers that have read a prefix.
     *
     * @param nowNanos monotonic time
     * @param prefixHash hash of the prompt parts
     * @return the servers, the one used last at the end
     */
    public List<BackendId> holders(long nowNanos, long prefixHash) {
        Map<BackendId, Long> servers = mUses.get(prefixHash);
        List<BackendId> holders = new ArrayList<>();
        if (servers == null) {
            return holders;
        }
        servers.values().removeIf(atNanos -> nowNanos - atNanos >= KEPT_NANOS);
        holders.addAll(servers.keySet());
        return holders;
    }

    /** Returns everything that is remembered. */
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
     * Forgets servers that are gone; a later start under the same id holds nothing.
     *
     * @param present the servers that exist
     */
    public void retainServers(Set<BackendId> present) {
        mUses.values().forEach(servers -> servers.keySet().retainAll(present));
    }
}
