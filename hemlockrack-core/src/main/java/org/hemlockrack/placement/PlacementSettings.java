package org.hemlockrack.placement;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link Placement}.
 *
 * @param maxChats number of chats the table remembers
 * @param coldWindowNanos how long a joined or emptied server yields returning chats to servers that
 *     hold their caches but publish no cache events; 0 to follow the hash at once
 * @param defaultTurnoverNanos assumed life of a cached chat where neither evictions nor sizes are
 *     known
 * @param serverRetentionNanos how long a server that left the candidates keeps its cache state
 */
public record PlacementSettings(
        int maxChats, long coldWindowNanos, long defaultTurnoverNanos, long serverRetentionNanos) {
    private static final int DEFAULT_MAX_CHATS = 1 << 17;

    /**
     * Returns the default settings.
     *
     * @return settings with 131,072 chats, a cold window of 60 s, a turnover of 10 min and an hour
     *     until a server is forgotten
     */
    public static PlacementSettings defaults() {
        return new PlacementSettings(
                DEFAULT_MAX_CHATS,
                TimeUnit.SECONDS.toNanos(60),
                TimeUnit.MINUTES.toNanos(10),
                TimeUnit.HOURS.toNanos(1));
    }

    /**
     * Returns a copy with another table size.
     *
     * @param chats number of chats, at least 1
     * @return the settings
     */
    public PlacementSettings withMaxChats(int chats) {
        return new PlacementSettings(
                chats, coldWindowNanos, defaultTurnoverNanos, serverRetentionNanos);
    }

    /**
     * Returns a copy with another cold window.
     *
     * @param nanos the window in nanoseconds
     * @return the settings
     */
    public PlacementSettings withColdWindowNanos(long nanos) {
        return new PlacementSettings(maxChats, nanos, defaultTurnoverNanos, serverRetentionNanos);
    }
}
