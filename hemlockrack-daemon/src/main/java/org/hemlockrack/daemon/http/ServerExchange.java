package org.hemlockrack.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.TimeUnit;
import org.apache.hc.core5.http.EntityDetails;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpRequest;
import org.apache.hc.core5.http.HttpResponse;
import org.apache.hc.core5.http.impl.BasicEntityDetails;
import org.apache.hc.core5.http.message.BasicHttpResponse;
import org.apache.hc.core5.http.nio.AsyncServerExchangeHandler;
import org.apache.hc.core5.http.nio.CapacityChannel;
import org.apache.hc.core5.http.nio.DataStreamChannel;
import org.apache.hc.core5.http.nio.ResponseChannel;
import org.apache.hc.core5.http.protocol.HttpContext;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.jspecify.annotations.Nullable;

/** One request and its answer on a server connection: collects the body, then writes the answer. */
final class ServerExchange implements AsyncServerExchangeHandler, Responder {
    private static final int CONTINUE_STATUS = 100;
    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;

    private final CallHandler mHandler;
    private final ClientConnection mConnection;
    private final ByteArrayOutputStream mBody = new ByteArrayOutputStream();
    private final Deque<ByteBuffer> mQueue = new ArrayDeque<>();

    private @Nullable HttpRequest mRequest;
    private @Nullable ResponseChannel mResponseChannel;
    private @Nullable HttpContext mContext;
    private @Nullable DataStreamChannel mOutput;
    private @Nullable Runnable mOnCancel;
    private @Nullable DrainListener mOnDrain;
    private int mQueuedBytes;
    private boolean mHeadSent;
    private boolean mEnded;
    private boolean mAborted;
    private boolean mReleased;
    private boolean mComplete;
    private boolean mHeadOnly;
    private boolean mBodyComplete;
    private volatile boolean mClosing;
    private long mBodyStartNanos;
    private long mProgressNanos;

    ServerExchange(CallHandler handler, ClientConnection connection) {
        mHandler = handler;
        mConnection = connection;
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            @Nullable EntityDetails entity,
            ResponseChannel responseChannel,
            HttpContext context)
            throws HttpException, IOException {
        mRequest = request;
        mResponseChannel = responseChannel;
        mContext = context;
        mHeadOnly = request.getMethod().equals("HEAD");
        mConnection.opened(this);
        if (entity == null) {
            mBodyComplete = true;
            dispatch();
            return;
        }
        mBodyStartNanos = System.nanoTime();
        if (request instanceof RefusedRequest) {
            dispatch();
            return;
        }
        if (entity.getContentLength() > maxBodyBytes()) {
            refuseLargeBody();
            return;
        }
        answerExpectation(request);
    }

    /** Tells a client that waits with its body to send it. */
    private void answerExpectation(HttpRequest request) throws HttpException, IOException {
        Header expect = request.getFirstHeader("Expect");
        if (expect == null) {
            return;
        }
        if (!"100-continue".equalsIgnoreCase(expect.getValue())) {
            refuseBody(ErrorKind.BAD_REQUEST, ErrorText.HTTP_EXPECT);
            return;
        }
        mResponseChannel.sendInformation(new BasicHttpResponse(CONTINUE_STATUS), mContext);
    }

    private int maxBodyBytes() {
        return mConnection.limits().maxBodyBytes();
    }

    private void refuseLargeBody() {
        refuseBody(
                ErrorKind.BODY_TOO_LARGE, String.format(ErrorText.BODY_TOO_LARGE, maxBodyBytes()));
    }

    /** Refuses a request whose body is not complete; the connection is closed afterwards. */
    void refuseBody(ErrorKind kind, String message) {
        sendError(kind, message, 0);
    }

    /** Acts on time limits that have passed. */
    void check(long nowNanos) {
        HttpLimits limits = mConnection.limits();
        boolean bodyLate;
        boolean stalled;
        synchronized (this) {
            bodyLate =
                    !mBodyComplete && late(nowNanos, mBodyStartNanos, limits.bodyTimeoutMillis());
            stalled =
                    mOutput != null
                            && mQueuedBytes > 0
                            && late(nowNanos, mProgressNanos, limits.writeTimeoutMillis());
        }
        if (stalled) {
            mConnection.closeNow();
            return;
        }
        if (bodyLate) {
            refuseBody(
                    ErrorKind.REQUEST_TIMEOUT,
                    String.format(ErrorText.BODY_TIMEOUT, limits.bodyTimeoutMillis()));
        }
    }

    private static boolean late(long nowNanos, long sinceNanos, long timeoutMillis) {
        return nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer src) {
        if (isHeadSent()) {
            src.position(src.limit());
            return;
        }
        if (mBody.size() + src.remaining() > maxBodyBytes()) {
            src.position(src.limit());
            refuseLargeBody();
            return;
        }
        byte[] chunk = new byte[src.remaining()];
        src.get(chunk);
        mBody.writeBytes(chunk);
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        synchronized (this) {
            mBodyComplete = true;
        }
        if (!isHeadSent()) {
            dispatch();
        }
    }

    private synchronized boolean isHeadSent() {
        return mHeadSent;
    }

    private void dispatch() {
        HttpRequest request = mRequest;
        String target = request.getPath() == null ? "/" : request.getPath();
        int mark = target.indexOf('?');
        HttpCall call =
                new HttpCall(
                        request.getMethod(),
                        mark < 0 ? target : target.substring(0, mark),
                        mark < 0 ? null : target.substring(mark + 1),
                        HeaderField.listOf(request),
                        mBody.toByteArray());
        try {
            mHandler.handle(call, this);
        } catch (RuntimeException e) {
            sendError(ErrorKind.INTERNAL, "unexpected fault: " + e, 0);
            throw e;
        }
    }

    @Override
    public void sendHead(int status, List<HeaderField> headers, long lengthBytes) {
        HttpResponse response = new BasicHttpResponse(status);
        for (HeaderField field : headers) {
            if (!field.isHopByHop()) {
                response.addHeader(field.name(), field.value());
            }
        }
        synchronized (this) {
            if (mHeadSent || mReleased) {
                return;
            }
            mHeadSent = true;
            if (!mBodyComplete) {
                mClosing = true;
                response.addHeader("Connection", "close");
            }
            // HttpCore releases an answer without a body before end() is called.
            mComplete |= lengthBytes == 0 || mHeadOnly || isBodyless(status);
        }
        EntityDetails entity = lengthBytes == 0 ? null : new BasicEntityDetails(lengthBytes, null);
        if (mClosing && entity == null) {
            mConnection.linger();
        }
        try {
            mResponseChannel.sendResponse(response, entity, mContext);
        } catch (IOException | HttpException e) {
            cancel();
        }
    }

    private static boolean isBodyless(int status) {
        return status == NO_CONTENT_STATUS || status == NOT_MODIFIED_STATUS;
    }

    @Override
    public int write(ByteBuffer data) {
        DataStreamChannel output;
        int queued;
        synchronized (this) {
            if (mReleased) {
                return 0;
            }
            if (mQueuedBytes == 0) {
                mProgressNanos = System.nanoTime();
            }
            ByteBuffer copy = ByteBuffer.allocate(data.remaining());
            copy.put(data).flip();
            mQueue.add(copy);
            mQueuedBytes += copy.remaining();
            queued = mQueuedBytes;
            output = mOutput;
        }
        if (output != null) {
            output.requestOutput();
        }
        return queued;
    }

    @Override
    public synchronized int queuedBytes() {
        return mQueuedBytes;
    }

    @Override
    public void end() {
        finish(false);
    }

    @Override
    public void abort() {
        finish(true);
    }

    private void finish(boolean aborted) {
        DataStreamChannel output;
        synchronized (this) {
            mEnded = true;
            mAborted |= aborted;
            output = mOutput;
        }
        if (output != null) {
            output.requestOutput();
        }
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (this) {
            mOnCancel = action;
            if (!mReleased || mComplete) {
                return;
            }
        }
        action.run();
    }

    @Override
    public void onDrain(DrainListener action) {
        synchronized (this) {
            mOnDrain = action;
        }
    }

    @Override
    public int available() {
        synchronized (this) {
            // The reactor calls produce() only while this is positive, also to end the stream.
            return mQueuedBytes > 0 || mEnded ? Math.max(1, mQueuedBytes) : 0;
        }
    }

    @Override
    public void produce(DataStreamChannel channel) throws IOException {
        int written = 0;
        boolean ended;
        boolean aborted;
        DrainListener listener;
        synchronized (this) {
            if (mOutput == null) {
                mProgressNanos = System.nanoTime();
            }
            mOutput = channel;
            written = writeQueued(channel);
            if (written > 0) {
                mProgressNanos = System.nanoTime();
            }
            ended = mEnded && mQueue.isEmpty();
            aborted = mAborted;
            listener = mOnDrain;
            mComplete |= ended && !aborted;
        }
        if (written > 0 && listener != null) {
            listener.onDrained(written);
        }
        if (!ended) {
            return;
        }
        if (aborted) {
            throw new IOException("answer cut short: the backend server did not complete it");
        }
        channel.endStream();
        if (mClosing) {
            mConnection.linger();
        }
    }

    private int writeQueued(DataStreamChannel channel) throws IOException {
        int written = 0;
        while (!mQueue.isEmpty()) {
            ByteBuffer head = mQueue.peek();
            int count = channel.write(head);
            written += count;
            if (head.hasRemaining()) {
                break;
            }
            mQueue.remove();
        }
        mQueuedBytes -= written;
        return written;
    }

    @Override
    public void failed(Exception cause) {
        cancel();
    }

    private void cancel() {
        releaseResources();
    }

    @Override
    public void releaseResources() {
        Runnable action;
        synchronized (this) {
            if (mReleased) {
                return;
            }
            mReleased = true;
            mQueue.clear();
            mQueuedBytes = 0;
            action = mComplete ? null : mOnCancel;
        }
        mConnection.closed(this);
        if (action != null) {
            action.run();
        }
    }
}
