package org.hemlockrack.rollout.internal;

import org.hemlockrack.rollout.VersionStats;

/** Evidence of one route at one load level. */
public final class Cell {
    final Comparison mStage;
    final Comparison mWindow;

    private Cell(Comparison stage, Comparison window) {
        mStage = stage;
        mWindow = window;
    }

    /** Returns a cell without requests. */
    static Cell create() {
        return new Cell(Comparison.create(), Comparison.create());
    }

    /**
     * Restores a cell.
     *
     * @param stage evidence of the stage
     * @param window evidence of the window
     * @return the cell
     */
    public static Cell of(Comparison stage, Comparison window) {
        return new Cell(stage, window);
    }

    /** Returns the evidence of the stage. */
    public Comparison stage() {
        return mStage;
    }

    /** Returns the evidence of the window. */
    public Comparison window() {
        return mWindow;
    }

    void add(VersionStats newer, VersionStats older) {
        mStage.add(newer, older);
        mWindow.add(newer, older);
    }

    void nextStage() {
        mStage.clear();
        mWindow.clear();
    }
}
