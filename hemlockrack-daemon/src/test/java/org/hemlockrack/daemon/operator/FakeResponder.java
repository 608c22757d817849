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

/** Keeps one answer. */
final class FakeResponder implements Responder {
    /** Only bounds a test that would hang; no test measures time by it. */
    private static final long HANG_SECONDS = 60;

    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final CompletableFuture<Answer> mAnswer = new CompletableFuture<>();
    private int mStatus;
    private Runnable mOnCancel = () -> {};

    /** A complete answer. */
    record Answer(int status, JsonNode json) {
        String kind() {
            return json.at("/error/kind").asText();
        }

        String message() {
            return json.at("/error/message").asText();
        }
    }

    Answer await() {
        return mAnswer.orTimeout(HANG_SECONDS, TimeUnit.SECONDS).join();
    }

    boolean isAnswered() {
        return mAnswer.isDone();
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
            mAnswer.complete(new Answer(mStatus, new ObjectMapper().readTree(mBody.toByteArray())));
        } catch (IOException e) {
            throw new UncheckedIOException(e);
        }
    }

    @Override
    public void abort() {
        mAnswer.completeExceptionally(new IllegalStateException("aborted"));
    }

    @Override
    public void onCancel(Runnable action) {
        mOnCancel = action;
    }

    @Override
    public void onDrain(DrainListener action) {}
}
