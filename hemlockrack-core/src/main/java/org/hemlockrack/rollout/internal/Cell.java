package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.VersionStats;

/** Evidence of one route at one load level. */
public final class Cell {
    final Comparison mStage;
    final Comparison mWindow;

    /** The old version in earlier stages, for the stage in which it gets no traffic. */
    final VersionStats mReference;

    private Cell(Comparison stage, Comparison window, VersionStats reference) {
        mStage = stage;
        mWindow = window;
        mReference = reference;
    }

    /** Returns a cell without requests. */
    static Cell create() {
        return new Cell(Comparison.create(), Comparison.create(), VersionStats.create());
    }

    /**
     * Restores a cell.
     *
     * @param stage evidence of the stage
     * @param window evidence of the window
     * @param reference the old version in earlier stages
     * @return the cell
     */
    public static Cell of(Comparison stage, Comparison window, VersionStats reference) {
        return new Cell(stage, window, reference);
    }

    /** Returns the evidence of the stage. */
    public Comparison stage() {
        return mStage;
    }

    /** Returns the evidence of the window. */
    public Comparison window() {
        return mWindow;
    }

    /** Returns the old version in earlier stages. */
    public VersionStats reference() {
        return mReference;
    }

    void add(VersionStats newer, VersionStats older) {
        mStage.add(newer, older);
        mWindow.add(newer, older);
    }

    void nextStage() {
        mReference.merge(mStage.older());
        mStage.clear();
        mWindow.clear();
    }
}
