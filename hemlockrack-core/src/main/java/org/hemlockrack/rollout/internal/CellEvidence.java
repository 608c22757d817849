package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.VersionStats;

/**
 * Request statistics of one traffic segment at one load level, over the current stage and over the
 * current window.
 */
public final class CellEvidence {
    final VersionComparison mStage;
    final VersionComparison mWindow;

    private CellEvidence(VersionComparison stage, VersionComparison window) {
        mStage = stage;
        mWindow = window;
    }

    /** Creates a cell without requests. */
    static CellEvidence create() {
        return new CellEvidence(VersionComparison.create(), VersionComparison.create());
    }

    /**
     * Restores a cell from a snapshot.
     *
     * @param stage statistics of the stage
     * @param window statistics of the window
     * @return the cell
     */
    public static CellEvidence of(VersionComparison stage, VersionComparison window) {
        return new CellEvidence(stage, window);
    }

    /** Returns the statistics of the current stage. */
    public VersionComparison stage() {
        return mStage;
    }

    /** Returns the statistics of the current window. */
    public VersionComparison window() {
        return mWindow;
    }

    void add(VersionStats newer, VersionStats older) {
        mStage.add(newer, older);
        mWindow.add(newer, older);
    }

    void clear() {
        mStage.clear();
        mWindow.clear();
    }
}
