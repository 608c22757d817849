package org.hemlockrack.daemon.gateway;

import java.util.List;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/** A protocol that supports nothing; tests override what they use. */
public class StubProtocol implements ProtocolAdapter {
    @Override
    public RequestMetadata readRequest(HttpCall call) {
        throw new UnsupportedOperationException();
    }

    @Override
    public List<HeaderField> forwardHeaders(
            HttpCall call,
            Registration server,
            @Nullable String workspace,
            int rank,
            long remainingMillis,
            @Nullable String resumeAfterEventId) {
        throw new UnsupportedOperationException();
    }

    @Override
    public AnswerMetadata readAnswerHead(int status, List<HeaderField> headers) {
        throw new UnsupportedOperationException();
    }

    @Override
    public RouteTable parseRouteTable(byte[] document) {
        throw new UnsupportedOperationException();
    }
}
