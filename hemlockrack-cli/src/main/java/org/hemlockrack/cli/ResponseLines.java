package org.hemlockrack.cli;

import com.google.common.io.CountingInputStream;
import java.io.IOException;
import java.io.InputStream;
import org.apache.hc.core5.http.ConnectionClosedException;
import org.apache.hc.core5.http.io.HttpTransportMetrics;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.apache.hc.core5.util.CharArrayBuffer;
import org.hemlockrack.http.LineSyntax;

/** The input of a connection, which checks the syntax of the lines that are read from it. */
final class ResponseLines implements SessionInputBuffer {
    private static final int CR_LF_BYTES = 2;

    private final SessionInputBuffer mDelegate;
    private final LineSyntax mSyntax;

    ResponseLines(SessionInputBuffer delegate, LineSyntax syntax) {
        mDelegate = delegate;
        mSyntax = syntax;
    }

    @Override
    public int readLine(CharArrayBuffer line, InputStream in) throws IOException {
        int start = line.length();
        int unreadBytes = mDelegate.length();
        CountingInputStream counted = new CountingInputStream(in);
        int result = mDelegate.readLine(line, counted);
        CharSequence text = line.subSequence(start, line.length());
        // Each byte of a line is read as one character; its end is left out.
        long endBytes = unreadBytes + counted.getCount() - mDelegate.length() - text.length();
        // HttpCore takes the end of the connection for the end of a head or of the trailers.
        if (result < 0 || endBytes == 0) {
            throw new ConnectionClosedException("the connection ended inside a response");
        }
        mSyntax.check(text, endBytes == CR_LF_BYTES);
        return result;
    }

    @Override
    public int length() {
        return mDelegate.length();
    }

    @Override
    public int capacity() {
        return mDelegate.capacity();
    }

    @Override
    public int available() {
        return mDelegate.available();
    }

    @Override
    public int read(byte[] target, int offset, int length, InputStream in) throws IOException {
        return mDelegate.read(target, offset, length, in);
    }

    @Override
    public int read(byte[] target, InputStream in) throws IOException {
        return mDelegate.read(target, in);
    }

    @Override
    public int read(InputStream in) throws IOException {
        return mDelegate.read(in);
    }

    @Override
    public HttpTransportMetrics getMetrics() {
        return mDelegate.getMetrics();
    }
}
