package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.VersionStats;

/**
 * Request statistics of both versions over the same period.
 *
 * @param newer statistics of the new version
 * @param older statistics of the old version
 */
public record VersionComparison(VersionStats newer, VersionStats older) {
    static VersionComparison create() {
        return new VersionComparison(VersionStats.create(), VersionStats.create());
    }

    void add(VersionStats moreNewer, VersionStats moreOlder) {
        newer.merge(moreNewer);
        older.merge(moreOlder);
    }

    void clear() {
        newer.clear();
        older.clear();
    }
}
