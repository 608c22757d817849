package org.hemlockrack.bench;

import java.nio.charset.StandardCharsets;
import java.util.List;
import java.util.SplittableRandom;
import org.hemlockrack.daemon.gateway.AnswerMetadata;
import org.hemlockrack.daemon.gateway.ProtocolAdapter;
import org.hemlockrack.daemon.gateway.RequestMetadata;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpCall;
import org.hemlockrack.registry.Registration;
import org.hemlockrack.routing.RouteTable;
import org.jspecify.annotations.Nullable;

/** A protocol for tables that consist of a version and padding; it carries no requests. */
final class TableProtocol implements ProtocolAdapter {
    /** Returns a document of a version, padded to a size with text that does not compress. */
    static byte[] document(long version, int sizeBytes) {
        StringBuilder text = new StringBuilder().append(version).append('\n');
        SplittableRandom random = new SplittableRandom(version);
        while (text.length() < sizeBytes) {
            text.append(Long.toString(random.nextLong(), Character.MAX_RADIX));
        }
        return text.toString().getBytes(StandardCharsets.US_ASCII);
    }

    @Override
    public RouteTable parseRouteTable(byte[] document) {
        String text = new String(document, StandardCharsets.US_ASCII);
        long version = Long.parseLong(text.substring(0, text.indexOf('\n')));
        return RouteTable.of(version, List.of(), List.of(), null);
    }

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
}
