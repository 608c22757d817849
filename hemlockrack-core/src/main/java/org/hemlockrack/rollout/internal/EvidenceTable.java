package org.hemlockrack.rollout.internal;

import java.util.LinkedHashMap;
import java.util.Map;
import org.hemlockrack.model.RequestKind;
import org.hemlockrack.model.WorkspaceId;
import org.hemlockrack.rollout.LoadLevel;
import org.hemlockrack.rollout.TrafficSegment;
import org.hemlockrack.rollout.VersionStats;

/**
 * Request statistics of one roll-out by cell, over the current stage and over a window of fixed
 * length. The stage gathers enough requests to detect faults when traffic is low; the window
 * detects faults that start after many good requests. Merging is exact, so the table does not
 * depend on the order of reports within a stage and window.
 */
public final class EvidenceTable {
    /**
     * Maximum number of cells in a table; traffic segments beyond it share one cell per load level.
     */
    public static final int MAX_CELLS = 256;

    private static final TrafficSegment OTHER_SEGMENT =
            new TrafficSegment(WorkspaceId.of("other"), RequestKind.CHAT);

    private final Map<CellKey, CellEvidence> mCells = new LinkedHashMap<>();
    private long mWindow;
    private long mJudgedRequests;

    private EvidenceTable() {}

    /** Creates a table without requests. */
    public static EvidenceTable create() {
        return new EvidenceTable();
    }

    /**
     * Adds requests.
     *
     * @param key cell of the requests
     * @param newer requests of the new version
     * @param older requests of the old version
     * @return key of the cell to which they were added
     */
    public CellKey add(CellKey key, VersionStats newer, VersionStats older) {
        CellKey cellKey = cellKeyFor(key);
        mCells.computeIfAbsent(cellKey, any -> CellEvidence.create()).add(newer, older);
        mJudgedRequests += newer.requests();
        return cellKey;
    }

    /**
     * Restores a cell of a snapshot.
     *
     * @param key its key
     * @param cell the cell
     */
    public void restore(CellKey key, CellEvidence cell) {
        mCells.put(key, cell);
    }

    /**
     * Restores the counters of a snapshot.
     *
     * @param window number of the window
     * @param judged requests of the new version in all stages
     */
    public void restore(long window, long judged) {
        mWindow = window;
        mJudgedRequests = judged;
    }

    /** Starts a new stage with empty cells. */
    public void startNextStage() {
        mCells.values().forEach(CellEvidence::clear);
    }

    /**
     * Advances to a window, which starts empty. Does nothing if the window is not later than the
     * current one.
     *
     * @param window number of the window
     */
    public void advanceToWindow(long window) {
        if (window <= mWindow) {
            return;
        }
        mWindow = window;
        for (CellEvidence cell : mCells.values()) {
            cell.window().clear();
        }
    }

    /** Returns the cells. */
    public Map<CellKey, CellEvidence> cells() {
        return mCells;
    }

    /** Returns the number of the window. */
    public long window() {
        return mWindow;
    }

    /** Returns the number of requests of the new version in all stages. */
    public long judgedRequests() {
        return mJudgedRequests;
    }

    /** Returns the number of requests of the new version in the current stage. */
    public long stageRequests() {
        long sum = 0;
        for (CellEvidence cell : mCells.values()) {
            sum += cell.stage().newer().requests();
        }
        return sum;
    }

    private CellKey cellKeyFor(CellKey key) {
        boolean hasRoom = mCells.size() < MAX_CELLS - LoadLevel.values().length;
        return hasRoom || mCells.containsKey(key) ? key : new CellKey(OTHER_SEGMENT, key.level());
    }
}
