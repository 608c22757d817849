package org.hemlockrack.daemon.controller;

import org.hemlockrack.control.RoutingOverrides;

/**
 * The replicated state at one revision. Immutable.
 *
 * @param revision log index of the newest command
 * @param tableVersion version of the route table, 0 if none was published
 * @param deflatedTable the route table, deflated
 * @param overrides the other facts
 */
record ControlView(
        long revision, long tableVersion, byte[] deflatedTable, RoutingOverrides overrides) {
    static final ControlView EMPTY = new ControlView(0, 0, new byte[0], RoutingOverrides.NONE);
}
