package org.hemlockrack.daemon.http;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.ByteBuffer;
import java.util.ArrayDeque;
import java.util.Deque;
import java.util.List;
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
    private final CallHandler mHandler;
    private final int mMaxBodyBytes;
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

    ServerExchange(CallHandler handler, int maxBodyBytes) {
        mHandler = handler;
        mMaxBodyBytes = maxBodyBytes;
    }

    @Override
    public void handleRequest(
            HttpRequest request,
            @Nullable EntityDetails entity,
            ResponseChannel responseChannel,
            HttpContext context) {
        mRequest = request;
        mResponseChannel = responseChannel;
        mContext = context;
        if (entity == null) {
            dispatch();
            return;
        }
        if (entity.getContentLength() > mMaxBodyBytes) {
            refuseLargeBody();
        }
    }

    private void refuseLargeBody() {
        mHeadSent = false;
        sendError(
                ErrorKind.BODY_TOO_LARGE,
                String.format(ErrorText.BODY_TOO_LARGE, mMaxBodyBytes),
                0);
    }

    @Override
    public void updateCapacity(CapacityChannel channel) throws IOException {
        channel.update(Integer.MAX_VALUE);
    }

    @Override
    public void consume(ByteBuffer src) {
        if (mHeadSent) {
            src.position(src.limit());
            return;
        }
        if (mBody.size() + src.remaining() > mMaxBodyBytes) {
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
        if (!mHeadSent) {
            dispatch();
        }
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
    public void head(int status, List<HeaderField> headers, long lengthBytes) {
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
        }
        EntityDetails entity = lengthBytes == 0 ? null : new BasicEntityDetails(lengthBytes, null);
        try {
            mResponseChannel.sendResponse(response, entity, mContext);
        } catch (IOException | HttpException e) {
            cancel();
        }
    }

    @Override
    public int write(ByteBuffer data) {
        DataStreamChannel output;
        int queued;
        synchronized (this) {
            if (mReleased) {
                return 0;
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
            mOutput = channel;
            written = writeQueued(channel);
            ended = mEnded && mQueue.isEmpty();
            aborted = mAborted;
            listener = mOnDrain;
            mComplete |= ended && !aborted;
        }
        if (written > 0 && listener != null) {
            listener.drained(written);
        }
        if (!ended) {
            return;
        }
        if (aborted) {
            throw new IOException("answer cut short: the backend server did not complete it");
        }
        channel.endStream();
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
        if (action != null) {
            action.run();
        }
    }
}
