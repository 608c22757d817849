package org.hemlockrack.daemon.gateway;

import org.hemlockrack.control.RoutingOverrides;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * What a gateway knows at one moment. Immutable.
 *
 * @param table the route table in force, or null if none is known yet
 * @param overrides evacuated zones, moves, departures
 * @param revision revision of the control state that the facts belong to
 */
record GatewayView(@Nullable RouteTable table, RoutingOverrides overrides, long revision) {
    static final GatewayView EMPTY = new GatewayView(null, RoutingOverrides.NONE, 0);

    long tableVersion() {
        return table == null ? 0 : table.version();
    }
}
