package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.VersionStats;

/**
 * The two versions over the same time.
 *
 * @param newer the new version
 * @param older the old version
 */
public record Comparison(VersionStats newer, VersionStats older) {
    static Comparison create() {
        return new Comparison(VersionStats.create(), VersionStats.create());
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
