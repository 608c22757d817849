package org.hemlockrack.daemon.owner;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.Random;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.Responder;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.junit.jupiter.api.Test;

class ForwardedExchangeTest {
    private static final int ANSWER_BYTES = 4 << 20;

    /** A connection that is drained only by calls of {@link #read}. */
    private static final class SlowReader implements Responder {
        private DrainListener mOnDrain = bytes -> {};
        private int mQueued;
        private int mMaxQueued;

        @Override
        public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {}

        @Override
        public int write(ByteBuffer data) {
            mQueued += data.remaining();
            mMaxQueued = Math.max(mMaxQueued, mQueued);
            return mQueued;
        }

        void read(int bytes) {
            int count = Math.min(bytes, mQueued);
            mQueued -= count;
            if (count > 0) {
                mOnDrain.onDrained(count);
            }
        }

        @Override
        public int queuedBytes() {
            return mQueued;
        }

        @Override
        public void end() {}

        @Override
        public void abort() {}

        @Override
        public void onCancel(Runnable action) {}

        @Override
        public void onDrain(DrainListener action) {
            mOnDrain = action;
        }
    }

    /** Flow-control window: the bytes that the backend server may still send. */
    private static final class Window implements RunningAttempt {
        private int mRemainingBytes = UpstreamCall.WINDOW_BYTES;

        @Override
        public void release(int bytes) {
            mRemainingBytes += bytes;
        }

        @Override
        public void cancel() {}
    }

    /**
     * Guards against returning the credit of the whole window for each byte that a slow reader
     * reads, which lets the instance buffer far more than the window.
     */
    @Test
    void slowReaderDoesNotBufferMoreThanTheWindow() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            SlowReader reader = new SlowReader();
            Window window = new Window();
            ForwardedExchange exchange = ForwardedExchange.create(reader);
            exchange.attach(window);
            int sent = 0;
            while (sent < ANSWER_BYTES || reader.mQueued > 0) {
                int allowed = Math.min(window.mRemainingBytes, ANSWER_BYTES - sent);
                if (allowed > 0 && random.nextInt(4) > 0) {
                    int bytes = 1 + random.nextInt(Math.min(allowed, 8 << 10));
                    window.mRemainingBytes -= bytes;
                    sent += bytes;
                    exchange.onBody(ByteBuffer.allocate(bytes));
                }
                reader.read(random.nextInt(2_000));
            }
            assertEquals(ANSWER_BYTES, sent);
            assertTrue(
                    reader.mMaxQueued <= UpstreamCall.WINDOW_BYTES,
                    "seed " + seed + " queued " + reader.mMaxQueued);
        }
    }
}
