package org.hemlockrack.daemon.controller;

import java.nio.ByteBuffer;
import java.util.List;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicBoolean;
import java.util.function.BooleanSupplier;
import java.util.function.IntConsumer;
import org.hemlockrack.daemon.http.HeaderField;
import org.hemlockrack.daemon.http.HttpClient;
import org.hemlockrack.daemon.http.UpstreamCall;
import org.hemlockrack.daemon.http.UpstreamListener;
import org.hemlockrack.daemon.loop.EventLoop;
import org.jspecify.annotations.Nullable;

/** Sends calls of duties over HTTP, each over a connection of its own. */
final class HttpDutyTransport implements DutyTransport, AutoCloseable {
    private static final long CONNECT_TIMEOUT_MILLIS = 500;
    private static final long IDLE_TIMEOUT_MILLIS = 5_000;

    /** Time after which a call is repeated; the platform usually answers in some milliseconds. */
    private static final long ANSWER_TIMEOUT_MILLIS = 1_500;

    private final EventLoop mLoop;
    private final String mAddress;
    private final HttpClient mClient =
            HttpClient.openWithoutExpect(1, CONNECT_TIMEOUT_MILLIS, IDLE_TIMEOUT_MILLIS);

    private HttpDutyTransport(EventLoop loop, String address) {
        mLoop = loop;
        mAddress = address;
    }

    static HttpDutyTransport open(EventLoop loop, String address) {
        return new HttpDutyTransport(loop, address);
    }

    @Override
    public void send(DutyCalls.Call call, BooleanSupplier maySend, IntConsumer onEnd) {
        Exchange exchange = new Exchange(maySend, onEnd);
        UpstreamCall upstream =
                mClient.send(
                        mAddress,
                        call.method(),
                        call.path(),
                        call.headers(),
                        call.body(),
                        exchange);
        exchange.mUpstream = upstream;
        long endNanos = mLoop.nowNanos() + TimeUnit.MILLISECONDS.toNanos(ANSWER_TIMEOUT_MILLIS);
        mLoop.scheduleAt(
                endNanos,
                () -> {
                    upstream.cancel();
                    exchange.end(NO_ANSWER);
                });
    }

    @Override
    public void close() {
        mClient.close();
    }

    private final class Exchange implements UpstreamListener {
        private final BooleanSupplier mMaySend;
        private final IntConsumer mOnEnd;
        private final AtomicBoolean mEnded = new AtomicBoolean();
        private volatile @Nullable UpstreamCall mUpstream;

        private Exchange(BooleanSupplier maySend, IntConsumer onEnd) {
            mMaySend = maySend;
            mOnEnd = onEnd;
        }

        private void end(int status) {
            if (!mEnded.getAndSet(true)) {
                mLoop.execute(() -> mOnEnd.accept(status));
            }
        }

        @Override
        public boolean beforeSend() {
            return !mEnded.get() && mMaySend.getAsBoolean();
        }

        @Override
        public void onHead(int status, List<HeaderField> headers, long lengthBytes) {
            // The status says everything; the body is not needed.
            end(status);
        }

        @Override
        public void onBody(ByteBuffer data) {
            int bytes = data.remaining();
            data.position(data.limit());
            UpstreamCall upstream = mUpstream;
            if (upstream != null) {
                upstream.releaseWindow(bytes);
            }
        }

        @Override
        public void onEnd() {}

        @Override
        public void onFailed(Exception cause, boolean mayHaveBeenSent) {
            end(NO_ANSWER);
        }
    }
}
