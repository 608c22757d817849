package org.hemlockrack.rollout.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.TrafficSegment;
import org.hemlockrack.rollout.VersionStats;

/**
 * Evidence of one roll-out, over the stage and over a window of fixed length. The stage collects
 * faults in few requests; the window finds faults that begin after many good requests. Merging is
 * exact, so the table does not depend on the order of reports within a stage and window.
 */
public final class EvidenceTable {
    /** Cells in one table; routes above it share one cell for each load level. */
    public static final int MAX_CELLS = 256;

    private static final TrafficSegment OTHER_ROUTE =
            new TrafficSegment(WorkspaceId.of("other"), RequestKind.CHAT);

    private final Map<CellKey, Cell> mCells = new LinkedHashMap<>();
    private long mWindow;
    private long mJudged;

    private EvidenceTable() {}

    /** Returns a table without evidence. */
    public static EvidenceTable create() {
        return new EvidenceTable();
    }

    /**
     * Adds requests.
     *
     * @param key what they are compared with
     * @param newer requests of the new version
     * @param older requests of the old version
     * @return the key under which they were added
     */
    public CellKey add(CellKey key, VersionStats newer, VersionStats older) {
        CellKey known = place(key);
        mCells.computeIfAbsent(known, any -> Cell.create()).add(newer, older);
        mJudged += newer.requests();
        return known;
    }

    /**
     * Puts back a cell of a snapshot.
     *
     * @param key its key
     * @param cell the cell
     */
    public void restore(CellKey key, Cell cell) {
        mCells.put(key, cell);
    }

    /**
     * Puts back the counters of a snapshot.
     *
     * @param window number of the window
     * @param judged requests of the new version
     */
    public void restore(long window, long judged) {
        mWindow = window;
        mJudged = judged;
    }

    /** Begins a new stage. */
    public void nextStage() {
        mCells.values().forEach(Cell::nextStage);
    }

    /**
     * Moves to a window; a later one than the present begins empty.
     *
     * @param window number of the window
     */
    public void moveTo(long window) {
        if (window <= mWindow) {
            return;
        }
        mWindow = window;
        for (Cell cell : mCells.values()) {
            cell.window().clear();
        }
    }

    /** Returns the cells. */
    public Map<CellKey, Cell> cells() {
        return mCells;
    }

    /** Returns the number of the window. */
    public long window() {
        return mWindow;
    }

    /** Returns the requests of the new version in all stages. */
    public long judged() {
        return mJudged;
    }

    /** Returns the requests of the new version in the stage. */
    public long stageRequests() {
        long sum = 0;
        for (Cell cell : mCells.values()) {
            sum += cell.stage().newer().requests();
        }
        return sum;
    }

    private CellKey place(CellKey key) {
        boolean room = mCells.size() < MAX_CELLS - LoadLevel.values().length;
        return room || mCells.containsKey(key) ? key : new CellKey(OTHER_ROUTE, key.level());
    }
}
