package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/**
 * Translates between this project's types and the protocol that the callers, backend servers and
 * operators of one deployment use.
 */
public interface ProtocolAdapter {
    /**
     * Reads the header fields of a request.
     *
     * @param call the request
     * @return its metadata
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#BAD_REQUEST} if a field is malformed
     */
    RequestMetadata readRequest(HttpCall call);

    /**
     * Creates the header fields of a request to a backend server.
     *
     * @param call the caller's request
     * @param server the server
     * @param workspace workspace of the caller, or null if the route is open
     * @param rank priority of the request, 0 for the most urgent
     * @param remainingMillis remaining time until the answer is due
     * @param resumeAfterEventId id of the last event that the caller received if a stream is
     *     resumed, or null to keep the field that the caller sent
     * @return all header fields of the forwarded request
     */
    List<HeaderField> forwardHeaders(
            HttpCall call,
            Registration server,
            @Nullable String workspace,
            int rank,
            long remainingMillis,
            @Nullable String resumeAfterEventId);

    /**
     * Reads the head of a backend server's answer.
     *
     * @param status HTTP status
     * @param headers header fields
     * @return its metadata
     */
    AnswerMetadata readAnswerHead(int status, List<HeaderField> headers);

    /**
     * Parses a route table.
     *
     * @param document the table as the operator sent it
     * @return the table
     * @throws org.hemlockrack.errors.HemlockrackException with {@link
     *     org.hemlockrack.errors.ErrorKind#CONFIG_INVALID} if it is malformed or not valid
     */
    RouteTable parseRouteTable(byte[] document);
}
