package org.hemlockrack.daemon.gateway;

import java.nio.charset.StandardCharsets;
import java.util.List;
import org.hemlockrack.routing.RouteTable;

/** A protocol whose route tables have a version and nothing else. */
public final class VersionProtocol extends StubProtocol {
    /** Returns the document of a table. */
    public static byte[] document(long version) {
        return String.valueOf(version).getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public RouteTable parseRouteTable(byte[] document) {
        long version = Long.parseLong(new String(document, StandardCharsets.US_ASCII));
        return RouteTable.of(version, List.of(), List.of(), null);
    }
}
