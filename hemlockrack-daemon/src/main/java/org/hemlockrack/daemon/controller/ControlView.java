package org.hemlockrack.daemon.controller;

import org.hemlockrack.control.ControlState;
import org.hemlockrack.control.RoutingOverrides;

/**
 * Immutable snapshot of the replicated control state at one revision.
 *
 * @param revision log index of the newest command
 * @param tableVersion version of the route table, 0 if none was published
 * @param deflatedTable the route table, deflated
 * @param overrides evacuated zones, traffic moves and departed servers
 */
record ControlView(
        long revision, long tableVersion, byte[] deflatedTable, RoutingOverrides overrides) {
    static final ControlView EMPTY = new ControlView(0, 0, new byte[0], RoutingOverrides.NONE);

    static ControlView of(ControlState state) {
        return new ControlView(
                state.revision(), state.tableVersion(), state.tableDocument(), state.overrides());
    }
}
