package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.TimeUnit;
import java.util.function.Predicate;
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

/**
 * One request and its response on a server connection. Collects the request body, calls the handler
 * and writes the response as the connection accepts it. The request side runs on the connection's
 * I/O thread; the methods of {@link Responder} are safe for use from any thread.
 */
final class ServerExchange implements AsyncServerExchangeHandler, Responder {
    private static final int CONTINUE_STATUS = 100;

    /** Stalled connections are evicted within a second, and their memory is free then. */
    private static final long MEMORY_RETRY_MILLIS = 1_000;

    private static final int NO_CONTENT_STATUS = 204;
    private static final int NOT_MODIFIED_STATUS = 304;

    private final CallHandler mHandler;
    private final ClientConnection mConnection;
    private final RequestBody mRequestBody;
    private final Deque<ByteBuffer> mOutputQueue = new ArrayDeque<>();

    private @Nullable HttpRequest mRequest;
    private @Nullable ResponseChannel mResponseChannel;
    private @Nullable HttpContext mContext;
    private @Nullable DataStreamChannel mOutput;
    private @Nullable Runnable mOnCancel;
    private @Nullable DrainListener mOnDrain;
    private @Nullable Runnable mOnReleased;
    private int mQueuedBytes;
    private long mLengthBytes;
    private long mAcceptedBytes;
    private boolean mHeadSent;
    private boolean mEnded;
    private boolean mAborted;
    private boolean mReleased;
    private boolean mResponseComplete;
    private boolean mIsHeadRequest;
    private boolean mRequestBodyComplete;

    /** Whether the request was given to a handler or refused; it must not be both. */
    private boolean mClaimed;

    private volatile boolean mCloseAfterResponse;
    private volatile boolean mIsLast;
    private volatile boolean mEvicted;
    private long mContentLengthBytes = UNKNOWN_LENGTH;
    private long mHeadBytes;
    private long mResponseBytes;
    private long mBodyStartNanos;
    private volatile long mLastInputNanos;
    private long mLastProgressNanos;

    ServerExchange(CallHandler handler, ClientConnection connection) {
        mHandler = handler;
        mConnection = connection;
        mRequestBody = new RequestBody(connection.account());
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            @Nullable EntityDetails entity,
            ResponseChannel responseChannel,
            HttpContext context)
            throws HttpException, IOException {
        mRequest = request;
        Header credentials = request.getFirstHeader("Authorization");
        mConnection.account().setWorkspace(credentials == null ? null : credentials.getValue());
        mResponseChannel = responseChannel;
        mContext = context;
        mIsHeadRequest = request.getMethod().equals("HEAD");
        synchronized (this) {
            mRequestBodyComplete = entity == null;
            mBodyStartNanos = System.nanoTime();
            mLastInputNanos = mBodyStartNanos;
            mHeadBytes = mConnection.takeHeadBytes();
        }
        if (!mConnection.exchangeStarted(this)) {
            tryClaim();
            return;
        }
        if (entity == null) {
            dispatch();
            return;
        }
        if (request instanceof RefusedRequest) {
            dispatch();
            return;
        }
        mContentLengthBytes = entity.getContentLength();
        if (mContentLengthBytes > maxBodyBytes()) {
            refuseLargeBody();
            return;
        }
        handleExpectHeader(request);
    }

    /**
     * Sends the interim response 100 to a client that waits for it before it sends the body, and
     * refuses any other expectation.
     */
    private void handleExpectHeader(HttpRequest request) throws HttpException, IOException {
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

    /**
     * Refuses a request before its body is complete; the connection is closed afterwards, because
     * the start of the next request is not known.
     */
    void refuseBody(ErrorKind kind, String message) {
        if (tryClaim()) {
            sendError(kind, message, 0);
        }
    }

    /** Returns when the last byte of an incomplete body was received; null if it is complete. */
    @Nullable Long incompleteSinceNanos() {
        synchronized (this) {
            if (mRequestBodyComplete || mClaimed || mReleased) {
                return null;
            }
        }
        return mLastInputNanos;
    }

    /** Gives up an incomplete body for want of memory; returns false if it is complete. */
    boolean evict() {
        if (incompleteSinceNanos() == null || !tryClaim()) {
            return false;
        }
        mRequestBody.discard();
        mConnection.execute(this::sendMemoryRefusal);
        return true;
    }

    void refuseForMemory() {
        if (tryClaim()) {
            mRequestBody.discard();
            sendMemoryRefusal();
        }
    }

    private void sendMemoryRefusal() {
        mEvicted = true;
        sendError(ErrorKind.OVERLOADED, ErrorText.MEMORY_SHORT, MEMORY_RETRY_MILLIS);
    }

    /** Returns whether the caller alone is to answer the request. */
    private synchronized boolean tryClaim() {
        if (mClaimed || mReleased) {
            return false;
        }
        mClaimed = true;
        return true;
    }

    /**
     * Refuses the request if its body has not arrived.
     *
     * @param condition whether to refuse a request, of which it gets no body
     * @param refusal answers the request
     * @return whether the request was refused
     */
    boolean refuseIfIncomplete(Predicate<HttpCall> condition, CallHandler refusal) {
        if (isBodyComplete()) {
            return false;
        }
        HttpCall head = callWith(new byte[0]);
        if (!condition.test(head) || !tryClaim()) {
            return false;
        }
        handle(refusal, head);
        return true;
    }

    private synchronized boolean isBodyComplete() {
        return mRequestBodyComplete;
    }

    /**
     * Closes the connection if the client has stopped reading the response, and refuses the request
     * if its body is late.
     */
    void enforceTimeouts(long nowNanos) {
        HttpLimits limits = mConnection.limits();
        boolean bodyTimedOut;
        boolean stalled;
        synchronized (this) {
            bodyTimedOut =
                    !mRequestBodyComplete
                            && hasElapsed(nowNanos, mBodyStartNanos, limits.bodyTimeoutMillis());
            stalled =
                    mOutput != null
                            && mQueuedBytes > 0
                            && hasElapsed(
                                    nowNanos, mLastProgressNanos, limits.writeTimeoutMillis());
        }
        if (stalled) {
            mConnection.closeNow(CloseReason.WRITE_TIMEOUT);
            return;
        }
        if (bodyTimedOut) {
            refuseBody(
                    ErrorKind.REQUEST_TIMEOUT,
                    String.format(ErrorText.BODY_TIMEOUT, limits.bodyTimeoutMillis()));
        }
    }

    private static boolean hasElapsed(long nowNanos, long sinceNanos, long timeoutMillis) {
        return nowNanos - sinceNanos >= TimeUnit.MILLISECONDS.toNanos(timeoutMillis);
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer src) {
        if (isClaimed()) {
            src.position(src.limit());
            return;
        }
        mLastInputNanos = System.nanoTime();
        if (mRequestBody.size() + src.remaining() > maxBodyBytes()) {
            src.position(src.limit());
            refuseLargeBody();
            return;
        }
        long lengthBytes = mContentLengthBytes;
        int maxBytes = lengthBytes >= 0 ? (int) lengthBytes : maxBodyBytes();
        if (!mRequestBody.append(src, maxBytes)) {
            src.position(src.limit());
            refuseForMemory();
        }
    }

    @Override
    public void streamEnd(@Nullable List<? extends Header> trailers) {
        synchronized (this) {
            mRequestBodyComplete = true;
        }
        dispatch();
    }

    private synchronized boolean isClaimed() {
        return mClaimed;
    }

    private HttpCall callWith(byte[] body) {
        HttpRequest request = mRequest;
        String target = request.getPath() == null ? "/" : request.getPath();
        int queryStart = target.indexOf('?');
        return new HttpCall(
                request.getMethod(),
                queryStart < 0 ? target : target.substring(0, queryStart),
                queryStart < 0 ? null : target.substring(queryStart + 1),
                HeaderField.listOf(request),
                body);
    }

    private void dispatch() {
        if (isClaimed()) {
            return;
        }
        byte[] body = mRequestBody.toBytes();
        if (body == null) {
            refuseForMemory();
        } else if (tryClaim()) {
            handle(mHandler, callWith(body));
        }
    }

    private void handle(CallHandler handler, HttpCall call) {
        try {
            handler.handle(call, this);
        } catch (RuntimeException e) {
            sendError(ErrorKind.INTERNAL, "unexpected error: " + e, 0);
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
            mLengthBytes = lengthBytes;
            if (!mRequestBodyComplete) {
                mCloseAfterResponse = true;
            }
            mIsLast = mConnection.closesAfter(this);
            if (!mRequestBodyComplete || mIsLast) {
                response.addHeader("Connection", "close");
            }
            // HttpCore releases the exchange of a response without a body before end() is called;
            // that must not count as a cancellation.
            mResponseComplete |= lengthBytes == 0 || mIsHeadRequest || isBodyless(status);
        }
        EntityDetails entity = lengthBytes == 0 ? null : new BasicEntityDetails(lengthBytes, null);
        try {
            mResponseChannel.sendResponse(response, entity, mContext);
        } catch (IOException | HttpException e) {
            cancel();
            return;
        }
        if (entity == null) {
            closeIfLast();
        }
    }

    private static boolean isBodyless(int status) {
        return status == NO_CONTENT_STATUS || status == NOT_MODIFIED_STATUS;
    }

    @Override
    public int write(ByteBuffer data) {
        return queue(ByteBuffer.allocate(data.remaining()).put(data).flip());
    }

    private int queue(ByteBuffer data) {
        DataStreamChannel output;
        int queued;
        synchronized (this) {
            if (mReleased) {
                return 0;
            }
            mAcceptedBytes += data.remaining();
            if (mQueuedBytes == 0) {
                mLastProgressNanos = System.nanoTime();
            }
            mOutputQueue.add(data);
            mQueuedBytes += data.remaining();
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
    public void sendDocument(int status, List<HeaderField> headers, byte[] body) {
        if (!tryReserveResponse(body.length)) {
            sendError(ErrorKind.OVERLOADED, ErrorText.RESPONSES_UNTAKEN, MEMORY_RETRY_MILLIS);
            return;
        }
        sendHead(status, headers, body.length);
        if (body.length > 0) {
            queue(ByteBuffer.wrap(body).asReadOnlyBuffer());
        }
        end();
    }

    private boolean tryReserveResponse(int bytes) {
        // No lock is held: the reservation may evict other connections.
        if (!mConnection.tryReserveResponse(bytes)) {
            return false;
        }
        synchronized (this) {
            if (!mReleased) {
                mResponseBytes += bytes;
                return true;
            }
        }
        mConnection.releaseResponse(bytes);
        return true;
    }

    /** Returns when the client took the last byte of a response that waits for it, or null. */
    synchronized @Nullable Long untakenSinceNanos() {
        return mQueuedBytes > 0 && !mReleased ? mLastProgressNanos : null;
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
            if (mEnded) {
                return;
            }
            mEnded = true;
            // A response is complete with its last byte, also if end() has not been called yet.
            mAborted = aborted && !isWhole();
            output = mOutput;
        }
        if (output != null) {
            output.requestOutput();
        }
    }

    /** Returns whether all bytes of the response are queued or written. */
    private boolean isWhole() {
        return mResponseComplete || mHeadSent && mAcceptedBytes == mLengthBytes;
    }

    /** Returns whether the response has begun and is not complete. */
    synchronized boolean isTruncated() {
        return mHeadSent && !mResponseComplete;
    }

    /** Returns whether the response is complete, but not written to its end. */
    synchronized boolean isEndedUnsent() {
        return mEnded && !mAborted && !mReleased;
    }

    @Override
    public String cancelReason() {
        return mConnection.closeReason().text();
    }

    @Override
    public void onCancel(Runnable action) {
        synchronized (this) {
            mOnCancel = action;
            if (!mReleased || mResponseComplete) {
                return;
            }
        }
        action.run();
    }

    @Override
    public CompletableFuture<Boolean> checkConnected() {
        return mConnection.checkConnected();
    }

    @Override
    public void onReleased(Runnable action) {
        synchronized (this) {
            if (!mReleased) {
                mOnReleased = action;
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
            // The reactor calls produce() only while this is positive, so it returns 1 for an ended
            // response without queued bytes: produce() must be called once more to end the stream.
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
                mLastProgressNanos = System.nanoTime();
            }
            mOutput = channel;
            written = writeQueued(channel);
            if (written > 0) {
                mLastProgressNanos = System.nanoTime();
            }
            ended = mEnded && mOutputQueue.isEmpty();
            aborted = mAborted;
            listener = mOnDrain;
            mResponseComplete |= ended && !aborted;
        }
        if (written > 0 && listener != null) {
            listener.onDrained(written);
        }
        if (!ended) {
            return;
        }
        if (aborted) {
            throw new IOException("response truncated: the backend server did not complete it");
        }
        channel.endStream();
        closeIfLast();
    }

    private void closeIfLast() {
        if (mCloseAfterResponse) {
            // An evicted client is not given the time for the rest of its body.
            long endNanos =
                    mBodyStartNanos
                            + TimeUnit.MILLISECONDS.toNanos(
                                    mConnection.limits().bodyTimeoutMillis());
            mConnection.closeAfterRefusal(mEvicted ? System.nanoTime() : endNanos);
        } else if (mIsLast) {
            mConnection.closeAfterLastResponse();
        }
    }

    private int writeQueued(DataStreamChannel channel) throws IOException {
        int written = 0;
        while (!mOutputQueue.isEmpty()) {
            ByteBuffer chunk = mOutputQueue.peek();
            int count = channel.write(chunk);
            written += count;
            if (chunk.hasRemaining()) {
                break;
            }
            mOutputQueue.remove();
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
        Runnable onCancel;
        Runnable onReleased;
        long responseBytes;
        synchronized (this) {
            if (mReleased) {
                return;
            }
            mReleased = true;
            responseBytes = mResponseBytes;
            mOutputQueue.clear();
            mQueuedBytes = 0;
            onCancel = mResponseComplete ? null : mOnCancel;
            onReleased = mOnReleased;
        }
        mRequestBody.discard();
        mConnection.releaseHeadBytes(mHeadBytes);
        mConnection.releaseResponse(responseBytes);
        mConnection.exchangeReleased(this);
        if (onCancel != null) {
            onCancel.run();
        }
        if (onReleased != null) {
            onReleased.run();
        }
    }
}
