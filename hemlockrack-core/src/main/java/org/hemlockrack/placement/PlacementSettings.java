package org.hemlockrack.placement;

import java.util.concurrent.TimeUnit;

/**
 * Settings of a {@link Placement}.
 *
 * @param maxChats maximum number of chats in the chat table
 * @param coldWindowNanos time after a server joined or lost its cache during which returning chats
 *     go to servers that have them cached but publish no cache events; 0 to use the hash ranking at
 *     once
 * @param defaultTurnoverNanos assumed lifetime of a cached chat if neither evictions nor cache
 *     sizes are known
 * @param serverRetentionNanos time for which the cache state of a server is kept after it was last
 *     listed as a candidate
 */
public record PlacementSettings(
        int maxChats, long coldWindowNanos, long defaultTurnoverNanos, long serverRetentionNanos) {
    private static final int DEFAULT_MAX_CHATS = 1 << 17;

    /**
     * Returns the default settings.
     *
     * @return settings with 131,072 chats, a cold window of 60 s, a turnover of 10 min and a server
     *     retention of 1 h
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
