package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpRequest;
import org.apache.hc.core5.http.nio.AsyncClientEndpoint;
import org.apache.hc.core5.http.nio.AsyncClientExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.RequestChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.apache.hc.core5.http.protocol.HttpCoreContext;
import org.jspecify.annotations.Nullable;

/** One request to another server, with a bounded window of unreleased answer bytes. */
public final class UpstreamCall {
    /** Answer bytes that may wait for a slow reader before the upstream connection is paused. */
    public static final int WINDOW_BYTES = 64 << 10;

    private final BasicHttpRequest mRequest;
    private final ByteBuffer mBody;
    private final UpstreamListener mListener;
    private final SessionRegistry mSessions;
    private final Handler mHandler = new Handler();

    private @Nullable CapacityChannel mCapacity;
    private @Nullable HttpContext mContext;
    private int mReleasedBytes;
    private @Nullable AsyncClientEndpoint mEndpoint;
    private boolean mSending;
    private boolean mDone;

    UpstreamCall(
            BasicHttpRequest request,
            byte[] body,
            UpstreamListener listener,
            SessionRegistry sessions) {
        mSessions = sessions;
        mRequest = request;
        mBody = ByteBuffer.wrap(body);
        mListener = listener;
    }

    /** Returns what starts the exchange once a connection is open. */
    FutureCallback<AsyncClientEndpoint> whenConnected() {
        return new FutureCallback<>() {
            @Override
            public void completed(AsyncClientEndpoint endpoint) {
                start(endpoint);
            }

            @Override
            public void failed(Exception cause) {
                mHandler.failed(cause);
            }

            @Override
            public void cancelled() {
                mHandler.cancel();
            }
        };
    }

    private void start(AsyncClientEndpoint endpoint) {
        boolean cancelled;
        synchronized (this) {
            mEndpoint = endpoint;
            cancelled = mDone;
        }
        if (cancelled) {
            endpoint.releaseAndReuse();
            return;
        }
        endpoint.execute(mHandler, HttpCoreContext.create());
    }

    /** Ends the exchange if there is no connection yet. */
    void connectTimedOut() {
        boolean connected;
        synchronized (this) {
            connected = mEndpoint != null;
        }
        if (!connected) {
            mHandler.failed(new ConnectException("the connection took too long"));
        }
    }

    /**
     * Ends the exchange before its connection returns to the pool. In the other order, a late
     * {@link #cancel} would close the connection under the request that leased it next.
     */
    private void ended() {
        if (!finish()) {
            discardConnection();
            return;
        }
        AsyncClientEndpoint endpoint = takeEndpoint();
        if (endpoint != null) {
            endpoint.releaseAndReuse();
        }
        mListener.onEnd();
    }

    private void discardConnection() {
        AsyncClientEndpoint endpoint = takeEndpoint();
        if (endpoint != null) {
            endpoint.releaseAndDiscard();
        }
    }

    private synchronized @Nullable AsyncClientEndpoint takeEndpoint() {
        AsyncClientEndpoint endpoint = mEndpoint;
        mEndpoint = null;
        return endpoint;
    }

    /**
     * Allows the server to send more.
     *
     * @param bytes number of answer bytes that were passed on
     */
    public void releaseWindow(int bytes) {
        CapacityChannel channel;
        synchronized (this) {
            channel = mCapacity;
            if (channel == null) {
                mReleasedBytes += bytes;
                return;
            }
        }
        try {
            channel.update(bytes);
        } catch (IOException e) {
            mHandler.failed(e);
        }
    }

    /** Ends the exchange by closing its connection, so that the server stops the work. */
    public void cancel() {
        HttpContext context;
        synchronized (this) {
            if (mDone) {
                return;
            }
            mDone = true;
            context = mContext;
        }
        if (context != null) {
            mSessions.close(HttpCoreContext.cast(context).getEndpointDetails());
        }
    }

    private synchronized boolean finish() {
        boolean first = !mDone;
        mDone = true;
        return first;
    }

    private synchronized boolean isDone() {
        return mDone;
    }

    private synchronized boolean isSending() {
        return mSending;
    }

    private final class Handler implements AsyncClientExchangeHandler {
        @Override
        public void produceRequest(RequestChannel channel, HttpContext context)
                throws HttpException, IOException {
            if (isDone() || !mListener.beforeSend()) {
                throw new IOException("the call was cancelled before it was sent");
            }
            synchronized (UpstreamCall.this) {
                if (mDone) {
                    throw new IOException("the call ended before it was sent");
                }
                mSending = true;
            }
            EntityDetails entity =
                    mBody.hasRemaining() ? new BasicEntityDetails(mBody.remaining(), null) : null;
            channel.sendRequest(mRequest, entity, context);
            boolean cancelled;
            synchronized (UpstreamCall.this) {
                mContext = context;
                cancelled = mDone;
            }
            if (cancelled) {
                throw new IOException("the call was cancelled while it was sent");
            }
        }

        @Override
        public int available() {
            return mBody.remaining();
        }

        @Override
        public void produce(DataStreamChannel channel) throws IOException {
            channel.write(mBody);
            if (!mBody.hasRemaining()) {
                channel.endStream();
            }
        }

        @Override
        public void consumeInformation(HttpResponse response, HttpContext context) {}

        @Override
        public void consumeResponse(
                HttpResponse response, @Nullable EntityDetails entity, HttpContext context) {
            if (isDone()) {
                return;
            }
            long lengthBytes = entity == null ? 0 : entity.getContentLength();
            mListener.onHead(response.getCode(), HeaderField.listOf(response), lengthBytes);
            if (entity == null) {
                ended();
            }
        }

        @Override
        public void updateCapacity(CapacityChannel channel) throws IOException {
            int bytes;
            synchronized (UpstreamCall.this) {
                mCapacity = channel;
                bytes = mReleasedBytes;
                mReleasedBytes = 0;
            }
            if (bytes > 0) {
                channel.update(bytes);
            }
        }

        @Override
        public void consume(ByteBuffer src) {
            if (isDone()) {
                src.position(src.limit());
                return;
            }
            mListener.onBody(src);
        }

        @Override
        public void streamEnd(@Nullable List<? extends Header> trailers) {
            ended();
        }

        @Override
        public void cancel() {
            failed(new IOException("the exchange was cancelled"));
        }

        @Override
        public void failed(Exception cause) {
            discardConnection();
            if (finish()) {
                mListener.onFailed(cause, isSending());
            }
        }

        @Override
        public void releaseResources() {
            failed(new IOException("the connection was closed before the answer was complete"));
        }
    }
}
