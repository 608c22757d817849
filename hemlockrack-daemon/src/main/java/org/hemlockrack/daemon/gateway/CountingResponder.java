package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.Responder;

/**
 * Counts a request as open until its answer is complete, aborted or cancelled, so that a graceful
 * shutdown can wait for open requests.
 */
final class CountingResponder implements Responder {
    private final Responder mResponder;
    private final AtomicInteger mOpenRequests;
    private final AtomicBoolean mEnded = new AtomicBoolean();

    private CountingResponder(Responder responder, AtomicInteger openRequests) {
        mResponder = responder;
        mOpenRequests = openRequests;
    }

    static CountingResponder of(Responder responder, AtomicInteger openRequests) {
        openRequests.incrementAndGet();
        return new CountingResponder(responder, openRequests);
    }

    private void markEnded() {
        if (mEnded.compareAndSet(false, true)) {
            mOpenRequests.decrementAndGet();
        }
    }

    @Override
    public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
        mResponder.sendHead(status, headers, lengthBytes);
    }

    @Override
    public int write(ByteBuffer data) {
        return mResponder.write(data);
    }

    @Override
    public int queuedBytes() {
        return mResponder.queuedBytes();
    }

    @Override
    public void end() {
        mResponder.end();
        markEnded();
    }

    @Override
    public void abort() {
        mResponder.abort();
        markEnded();
    }

    @Override
    public void onCancel(Runnable action) {
        mResponder.onCancel(
                () -> {
                    markEnded();
                    action.run();
                });
    }

    @Override
    public void onReleased(Runnable action) {
        mResponder.onReleased(action);
    }

    @Override
    public void onDrain(DrainListener action) {
        mResponder.onDrain(action);
    }
}
