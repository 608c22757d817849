package org.hemlockrack.daemon.http;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.channels.ReadableByteChannel;
import java.nio.channels.WritableByteChannel;
import org.apache.hc.core5.http.nio.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.hemlockrack.http.LineSyntax;
import org.jspecify.annotations.Nullable;

/**
 * The input of a connection, which counts the lines that are read from it and checks their syntax.
 * The parsers of HttpCore repair or pass over much of what is no HTTP.
 */
final class MessageLineBuffer implements SessionInputBuffer {
    private static final int CR_LF_BYTES = 2;

    private final SessionInputBuffer mDelegate;
    private final LineSyntax mSyntax;
    private int mLines;

    private MessageLineBuffer(SessionInputBuffer delegate, LineSyntax syntax) {
        mDelegate = delegate;
        mSyntax = syntax;
    }

    /**
     * Returns the lines of a buffer.
     *
     * @param buffer the buffer
     * @param syntax checks the lines
     * @param previous the lines of earlier calls, kept if they are of the same buffer
     * @return the lines
     */
    static MessageLineBuffer of(
            SessionInputBuffer buffer, LineSyntax syntax, @Nullable MessageLineBuffer previous) {
        return previous != null && previous.mDelegate == buffer
                ? previous
                : new MessageLineBuffer(buffer, syntax);
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
        int start = line.length();
        int unreadBytes = mDelegate.length();
        if (!mDelegate.readLine(line, endOfStream)) {
            return false;
        }
        mLines++;
        CharSequence text = line.subSequence(start, line.length());
        // Each byte of a line is read as one character; its end is left out.
        int endBytes = unreadBytes - mDelegate.length() - text.length();
        mSyntax.check(text, endBytes == CR_LF_BYTES);
        return true;
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
