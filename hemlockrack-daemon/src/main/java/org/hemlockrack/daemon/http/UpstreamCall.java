package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.net.ConnectException;
import java.nio.ByteBuffer;
import java.util.List;
import org.apache.hc.core5.concurrent.FutureCallback;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.EndpointDetails;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.HttpStatus;
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

/**
 * A request to another process, with flow control: at most the window of its {@link HttpClient} of
 * the response body is received ahead of the bytes returned by {@link #releaseWindow}. Safe for use
 * from any thread.
 */
public final class UpstreamCall {
    /** Response body bytes that may be received and not yet released before reading pauses. */
    public static final int WINDOW_BYTES = 64 << 10;

    /** Such a window for calls that are many at the same time. */
    public static final int NARROW_WINDOW_BYTES = 24 << 10;

    private final BasicHttpRequest mRequest;
    private final ByteBuffer mBody;
    private final UpstreamListener mListener;
    private final SessionRegistry mSessions;
    private final Handler mHandler = new Handler();

    private @Nullable CapacityChannel mCapacityChannel;
    private @Nullable HttpContext mContext;
    private int mEarlyReleasedBytes;
    private @Nullable AsyncClientEndpoint mEndpoint;
    private boolean mSending;
    private boolean mDone;

    /** Confined to the thread of the connection, like the next four fields. */
    private boolean mUploaded;

    private boolean mReleaseOnceUploaded;
    private boolean mCompleteOnceUploaded;

    /** Whether the body of the response has neither a length nor chunks. */
    private boolean mEndsWithConnection;

    private int mStatus;

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

    /** Returns a callback that starts the exchange once the connection is open. */
    FutureCallback<AsyncClientEndpoint> connectCallback() {
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

    /**
     * Fails the call if its connection is not open yet. Called when the connect timeout is over.
     */
    void failIfNotConnected() {
        boolean connected;
        synchronized (this) {
            connected = mEndpoint != null;
        }
        if (!connected) {
            mHandler.failed(new ConnectException("timed out while connecting"));
        }
    }

    /**
     * Marks the call as done, then returns its connection to the pool. In the opposite order, a
     * concurrent {@link #cancel} could close the connection while the next request already uses it.
     */
    private void completeExchange() {
        if (!markDone()) {
            discardConnection();
            return;
        }
        if (mUploaded) {
            releaseConnection();
        } else if (mStatus >= HttpStatus.SC_CLIENT_ERROR) {
            // HttpCore does not send the rest of the body after an error.
            discardConnection();
        } else {
            // The next request on this connection would wait behind the rest of the body.
            mReleaseOnceUploaded = true;
        }
        mListener.onEnd();
    }

    private void releaseConnection() {
        AsyncClientEndpoint endpoint = takeEndpoint();
        EndpointDetails details = endpointDetails();
        if (mSessions.hasUnreadBytes(details)) {
            // What follows the response is not the response to the next request.
            mSessions.close(details);
        }
        if (endpoint != null) {
            endpoint.releaseAndReuse();
        }
    }

    private synchronized @Nullable EndpointDetails endpointDetails() {
        return mContext == null ? null : HttpCoreContext.cast(mContext).getEndpointDetails();
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
     * Returns bytes to the flow-control window, so that the server can send more.
     *
     * @param bytes number of response body bytes that were processed
     */
    public void releaseWindow(int bytes) {
        CapacityChannel channel;
        synchronized (this) {
            channel = mCapacityChannel;
            if (channel == null) {
                mEarlyReleasedBytes += bytes;
                return;
            }
        }
        try {
            channel.update(bytes);
        } catch (IOException e) {
            mHandler.failed(e);
        }
    }

    /**
     * Cancels the call by closing its connection, so that the server can stop processing the
     * request. The listener is not called any more. Has no effect on a call that has ended.
     */
    public void cancel() {
        if (markDone()) {
            mSessions.close(endpointDetails());
        }
    }

    /** Marks the call as done; returns false if it was done already. */
    private synchronized boolean markDone() {
        boolean firstTime = !mDone;
        mDone = true;
        return firstTime;
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
            mUploaded = entity == null;
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
                mUploaded = true;
                if (mCompleteOnceUploaded) {
                    completeExchange();
                } else if (mReleaseOnceUploaded) {
                    releaseConnection();
                }
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
            mStatus = response.getCode();
            long lengthBytes = entity == null ? 0 : entity.getContentLength();
            mEndsWithConnection = lengthBytes == ContentLengthStrategy.UNDEFINED;
            mListener.onHead(response.getCode(), HeaderField.listOf(response), lengthBytes);
            if (entity == null) {
                completeExchange();
            }
        }

        @Override
        public void updateCapacity(CapacityChannel channel) throws IOException {
            int bytes;
            synchronized (UpstreamCall.this) {
                mCapacityChannel = channel;
                bytes = mEarlyReleasedBytes;
                mEarlyReleasedBytes = 0;
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
            if (!mEndsWithConnection || mUploaded) {
                completeExchange();
            } else if (mStatus < HttpStatus.SC_CLIENT_ERROR) {
                // A server that has closed the connection, and not only its output, breaks it off
                // when more of the request arrives.
                mCompleteOnceUploaded = true;
            } else {
                // HttpCore does not send the rest of the body after an error.
                failed(
                        new ConnectionClosedException(
                                "the connection ended before the request was sent"));
            }
        }

        @Override
        public void cancel() {
            failed(new IOException("the exchange was cancelled"));
        }

        @Override
        public void failed(Exception cause) {
            discardConnection();
            if (markDone()) {
                mListener.onFailed(cause, isSending());
            }
        }

        @Override
        public void releaseResources() {
            failed(new IOException("the connection was closed before the response was complete"));
        }
    }
}
