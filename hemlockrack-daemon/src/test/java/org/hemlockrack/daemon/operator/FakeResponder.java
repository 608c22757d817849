package org.hemlockrack.daemon.operator;

import com.fasterxml.jackson.databind.JsonNode;
import com.fasterxml.jackson.databind.ObjectMapper;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.Responder;

/** A responder that records one response. */
public final class FakeResponder implements Responder {
    /** Ends a test that would otherwise hang; no assertion depends on it. */
    private static final long HANG_SECONDS = 60;

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final CompletableFuture<Response> mResponse = new CompletableFuture<>();
    private int mStatus;
    private Runnable mOnCancel = () -> {};

    /** A complete response. */
    public record Response(int status, JsonNode json) {
        String errorKind() {
            return json.at("/error/kind").asText();
        }

        String errorMessage() {
            return json.at("/error/message").asText();
        }
    }

    /** Returns the response once it is complete. */
    public Response await() {
        return mResponse.orTimeout(HANG_SECONDS, TimeUnit.SECONDS).join();
    }

    boolean hasResponse() {
        return mResponse.isDone();
    }

    void cancel() {
        mOnCancel.run();
    }

    @Override
    public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
        mStatus = status;
    }

    @Override
    public int write(ByteBuffer data) {
        byte[] bytes = new byte[data.remaining()];
        data.get(bytes);
        mBody.writeBytes(bytes);
        return 0;
    }

    @Override
    public int queuedBytes() {
        return 0;
    }

    @Override
    public void end() {
        try {
            mResponse.complete(
                    new Response(mStatus, new ObjectMapper().readTree(mBody.toByteArray())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void abort() {
        mResponse.completeExceptionally(new IllegalStateException("aborted"));
    }

    @Override
    public void onCancel(Runnable action) {
        mOnCancel = action;
    }

    @Override
    public void onDrain(DrainListener action) {}
}
