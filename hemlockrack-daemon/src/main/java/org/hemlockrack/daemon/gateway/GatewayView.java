package org.hemlockrack.daemon.gateway;

import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * Immutable snapshot of the route table and the control state that a gateway uses.
 *
 * @param table the route table in force, or null if none is known yet
 * @param overrides evacuated zones, traffic moves and departed servers
 * @param revision revision of the control state that the overrides belong to
 */
record GatewayView(@Nullable RouteTable table, RoutingOverrides overrides, long revision) {
    static final GatewayView EMPTY = new GatewayView(null, RoutingOverrides.NONE, 0);

    long tableVersion() {
        return table == null ? 0 : table.version();
    }
}
