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

    /** A connection whose reader is as slow as the test wants. */
    private static final class SlowReader implements Responder {
        private DrainListener mOnDrain = bytes -> {};
        private int mQueued;
        private int mMostQueued;

        @Override
        public void head(int status, List<HeaderField> headers, long lengthBytes) {}

        @Override
        public int write(ByteBuffer data) {
            mQueued += data.remaining();
            mMostQueued = Math.max(mMostQueued, mQueued);
            return mQueued;
        }

        void read(int bytes) {
            int count = Math.min(bytes, mQueued);
            mQueued -= count;
            if (count > 0) {
                mOnDrain.drained(count);
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

    /** The bytes that the backend server may still send. */
    private static final class Window implements RunningAttempt {
        private int mBytes = UpstreamCall.WINDOW_BYTES;

        @Override
        public void release(int bytes) {
            mBytes += bytes;
        }

        @Override
        public void cancel() {}
    }

    /**
     * Guards against a window that opens whole for each byte that a slow reader takes, so that the
     * instance holds far more than the window.
     */
    @Test
    void slowReaderNeverMakesTheInstanceHoldMoreThanTheWindow() {
        for (int seed = 0; seed < 20; seed++) {
            Random random = new Random(seed);
            SlowReader reader = new SlowReader();
            Window window = new Window();
            ForwardedExchange exchange = ForwardedExchange.create(reader);
            exchange.follow(window);
            int sent = 0;
            while (sent < ANSWER_BYTES || reader.mQueued > 0) {
                int most = Math.min(window.mBytes, ANSWER_BYTES - sent);
                if (most > 0 && random.nextInt(4) > 0) {
                    int bytes = 1 + random.nextInt(Math.min(most, 8 << 10));
                    window.mBytes -= bytes;
                    sent += bytes;
                    exchange.onBody(ByteBuffer.allocate(bytes));
                }
                reader.read(random.nextInt(2_000));
            }
            assertEquals(ANSWER_BYTES, sent);
            assertTrue(
                    reader.mMostQueued <= UpstreamCall.WINDOW_BYTES,
                    "seed " + seed + " queued " + reader.mMostQueued);
        }
    }
}
