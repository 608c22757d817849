package org.hemlockrack.daemon.gateway;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.concurrent.atomic.AtomicInteger;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.Responder;

/** Counts the requests that have no complete answer yet, for the graceful stop. */
final class CountedResponder implements Responder {
    private final Responder mResponder;
    private final AtomicInteger mOpen;
    private final AtomicBoolean mEnded = new AtomicBoolean();

    private CountedResponder(Responder responder, AtomicInteger open) {
        mResponder = responder;
        mOpen = open;
    }

    static CountedResponder of(Responder responder, AtomicInteger open) {
        open.incrementAndGet();
        return new CountedResponder(responder, open);
    }

    private void ended() {
        if (mEnded.compareAndSet(false, true)) {
            mOpen.decrementAndGet();
        }
    }

    @Override
    public void head(int status, List<HeaderField> headers, long lengthBytes) {
        mResponder.head(status, headers, lengthBytes);
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
        ended();
    }

    @Override
    public void abort() {
        mResponder.abort();
        ended();
    }

    @Override
    public void onCancel(Runnable action) {
        mResponder.onCancel(
                () -> {
                    ended();
                    action.run();
                });
    }

    @Override
    public void onDrain(DrainListener action) {
        mResponder.onDrain(action);
    }
}
