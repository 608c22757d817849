package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/** How callers, backend servers and operators of one deployment write what the gateway needs. */
public interface Dialect {
    /**
     * Reads a request.
     *
     * @param call the request
     * @return what it says
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if a field is malformed
     */
    CallerFacts read(HttpCall call);

    /**
     * Writes the header fields of a request to a backend server.
     *
     * @param call the caller's request
     * @param server the server
     * @param workspace workspace of the caller, or null if the route is open
     * @param rank how urgent the request is, 0 for the most urgent
     * @param leftMillis time that is left for the answer
     * @param resumeAfter event after which a stream goes on, or null for what the caller sent
     * @return all fields
     */
    List<HeaderField> forward(
            HttpCall call,
            Registration server,
            @Nullable String workspace,
            int rank,
            long leftMillis,
            @Nullable String resumeAfter);

    /**
     * Reads the head of a backend server's answer.
     *
     * @param status HTTP status
     * @param headers header fields
     * @return what it says
     */
    ServerFacts readAnswer(int status, List<HeaderField> headers);

    /**
     * Reads a route table.
     *
     * @param document the table as the operator sent it
     * @return the table
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#CONFIG_INVALID} if it is malformed or not valid
     */
    RouteTable readTable(byte[] document);
}
