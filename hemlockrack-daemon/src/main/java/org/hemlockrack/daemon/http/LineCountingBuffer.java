package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.jspecify.annotations.Nullable;

/** The input of a connection, which counts the lines that are read from it. */
final class LineCountingBuffer implements SessionInputBuffer {
    private final SessionInputBuffer mDelegate;
    private int mLines;

    private LineCountingBuffer(SessionInputBuffer delegate) {
        mDelegate = delegate;
    }

    /**
     * Returns a counter of the lines of a buffer.
     *
     * @param buffer the buffer
     * @param previous the counter of earlier calls, kept if it is of the same buffer
     * @return the counter
     */
    static LineCountingBuffer of(SessionInputBuffer buffer, @Nullable LineCountingBuffer previous) {
        return previous != null && previous.mDelegate == buffer
                ? previous
                : new LineCountingBuffer(buffer);
    }

    /** Returns the number of lines since the last reset. */
    int lines() {
        return mLines;
    }

    void resetLines() {
        mLines = 0;
    }

    @Override
    public boolean readLine(CharArrayBuffer line, boolean endOfStream) throws IOException {
        boolean isComplete = mDelegate.readLine(line, endOfStream);
        mLines += isComplete ? 1 : 0;
        return isComplete;
    }

    @Override
    public boolean hasData() {
        return mDelegate.hasData();
    }

    @Override
    public int length() {
        return mDelegate.length();
    }

    @Override
    public int fill(ReadableByteChannel source) throws IOException {
        return mDelegate.fill(source);
    }

    @Override
    public int read() {
        return mDelegate.read();
    }

    @Override
    public int read(ByteBuffer target, int maxBytes) {
        return mDelegate.read(target, maxBytes);
    }

    @Override
    public int read(ByteBuffer target) {
        return mDelegate.read(target);
    }

    @Override
    public int read(WritableByteChannel target, int maxBytes) throws IOException {
        return mDelegate.read(target, maxBytes);
    }

    @Override
    public int read(WritableByteChannel target) throws IOException {
        return mDelegate.read(target);
    }
}
