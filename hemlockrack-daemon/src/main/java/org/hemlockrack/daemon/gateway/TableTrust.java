package org.hemlockrack.daemon.gateway;

import java.util.function.Predicate;
import org.hemlockrack.routing.RouteTable;

/** How far a gateway may rely on its route table. */
enum TableTrust {
    /** A majority confirmed recently that no newer table was acknowledged. */
    CONFIRMED {
        @Override
        boolean allows(TableStanding standing, Predicate<RouteTable> treatsAlike) {
            return true;
        }
    },

    /** No majority answers, so nobody can tell; the gateway goes on serving. */
    UNVERIFIABLE {
        @Override
        boolean allows(TableStanding standing, Predicate<RouteTable> treatsAlike) {
            return true;
        }
    },

    /** A majority answers and has a newer table, which may have been acknowledged. */
    DOUBTED {
        @Override
        boolean allows(TableStanding standing, Predicate<RouteTable> treatsAlike) {
            return standing.hasAllNewer() && standing.newer().stream().allMatch(treatsAlike);
        }
    };

    /**
     * Returns whether a request may be handled by the table of a gateway.
     *
     * @param standing the table and the newer ones
     * @param treatsAlike whether a newer table treats the request in the same way
     */
    abstract boolean allows(TableStanding standing, Predicate<RouteTable> treatsAlike);
}
