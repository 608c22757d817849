package org.hemlockrack.daemon.log;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.nio.charset.StandardCharsets;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import org.junit.jupiter.api.Test;

class DecisionLogTest {
    /** An output stream whose writes block until it is released. */
    private static final class StalledOutput extends OutputStream {
        final CountDownLatch mReleased = new CountDownLatch(1);
        final ByteArrayOutputStream mBytes = new ByteArrayOutputStream();

        @Override
        public void write(int b) throws IOException {
            write(new byte[] {(byte) b}, 0, 1);
        }

        @Override
        public void write(byte[] bytes, int offset, int length) throws IOException {
            try {
                mReleased.await();
            } catch (InterruptedException e) {
                throw new IOException(e);
            }
            mBytes.write(bytes, offset, length);
        }
    }

    /** Guards against requests that are blocked by a stalled reader of the log. */
    @Test
    void stalledReaderDoesNotBlockAndDropsAreCounted() {
        StalledOutput out = new StalledOutput();
        DecisionLog log = DecisionLog.open("i", out);
        int lines = 10_000;
        for (int i = 0; i < lines; i++) {
            log.requestEvent("answered", "r" + i).put("status", 200).write();
        }
        assertTrue(log.droppedCount() > 0, "nothing was dropped");
        out.mReleased.countDown();
        log.close();
        String text = out.mBytes.toString(StandardCharsets.UTF_8);
        long written = text.lines().filter(line -> line.contains("\"answered\"")).count();
        assertEquals(lines, written + log.droppedCount(), 1);
        assertTrue(text.contains("log_lines_dropped"), "the drops are not reported");
    }

    /** Guards against a close that waits for nothing, which takes from the end of a stop. */
    @Test
    void closeDoesNotWaitForTheNextPoll() throws InterruptedException {
        long startNanos = System.nanoTime();
        for (int i = 0; i < 10; i++) {
            ByteArrayOutputStream out = new ByteArrayOutputStream();
            DecisionLog log = DecisionLog.open("i", out);
            log.instanceEvent("stopped").write();
            TimeUnit.MILLISECONDS.sleep(20);
            log.close();
            String text = out.toString(StandardCharsets.UTF_8);
            assertEquals(1, text.lines().count(), text);
        }
        long elapsedMillis = TimeUnit.NANOSECONDS.toMillis(System.nanoTime() - startNanos);
        assertTrue(elapsedMillis < 1_000, elapsedMillis + " ms");
    }

    /** Guards against a log that grows with every ordinary request. */
    @Test
    void ordinaryRequestsAreSampled() {
        DecisionLog log = DecisionLog.open("i", OutputStream.nullOutputStream());
        int sampled = 0;
        for (int i = 0; i < 1_600; i++) {
            sampled += log.shouldSample() ? 1 : 0;
        }
        assertEquals(100, sampled);
        assertEquals(1_500, log.unsampledCount());
        log.close();
    }
}
