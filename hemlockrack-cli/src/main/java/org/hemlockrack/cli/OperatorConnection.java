package org.hemlockrack.cli;

import java.io.IOException;
import java.io.InputStream;
import java.net.Socket;
import java.util.List;
import java.util.stream.Stream;
import org.apache.hc.core5.http.ClassicHttpResponse;
import org.apache.hc.core5.http.ContentLengthStrategy;
import org.apache.hc.core5.http.Header;
import org.apache.hc.core5.http.HttpException;
import org.apache.hc.core5.http.HttpHeaders;
import org.apache.hc.core5.http.HttpVersion;
import org.apache.hc.core5.http.ProtocolVersion;
import org.apache.hc.core5.http.config.Http1Config;
import org.apache.hc.core5.http.impl.io.DefaultBHttpClientConnection;
import org.apache.hc.core5.http.impl.io.DefaultHttpResponseParser;
import org.apache.hc.core5.http.io.HttpMessageParser;
import org.apache.hc.core5.http.io.HttpMessageParserFactory;
import org.apache.hc.core5.http.io.SessionInputBuffer;
import org.hemlockrack.http.ChunkedBodySyntax;
import org.hemlockrack.http.HeadSyntax;
import org.hemlockrack.http.LengthFields;

/** A connection to an operator port, which refuses malformed responses. */
final class OperatorConnection extends DefaultBHttpClientConnection {
    private OperatorConnection() {
        super(Http1Config.DEFAULT, null, null, null, null, null, new ParserFactory());
    }

    static OperatorConnection of(Socket socket) throws IOException {
        OperatorConnection connection = new OperatorConnection();
        connection.bind(socket);
        return connection;
    }

    @Override
    protected InputStream createContentInputStream(
            long length, SessionInputBuffer buffer, InputStream in) {
        SessionInputBuffer input =
                length == ContentLengthStrategy.CHUNKED
                        ? new ResponseLines(buffer, ChunkedBodySyntax.create())
                        : buffer;
        return super.createContentInputStream(length, input, in);
    }

    /** Creates parsers that check the lines of each head, and then its length. */
    private static final class ParserFactory
            implements HttpMessageParserFactory<ClassicHttpResponse> {
        @Override
        public HttpMessageParser<ClassicHttpResponse> create() {
            return create(Http1Config.DEFAULT);
        }

        @Override
        public HttpMessageParser<ClassicHttpResponse> create(Http1Config config) {
            HttpMessageParser<ClassicHttpResponse> parser = new DefaultHttpResponseParser(config);
            HeadSyntax syntax = HeadSyntax.ofResponses();
            return (buffer, in) -> parse(parser, new ResponseLines(buffer, syntax), in);
        }

        private static ClassicHttpResponse parse(
                HttpMessageParser<ClassicHttpResponse> parser,
                SessionInputBuffer buffer,
                InputStream in)
                throws IOException, HttpException {
            ClassicHttpResponse response = parser.parse(buffer, in);
            ProtocolVersion version = response.getVersion();
            boolean isHttp10 = version != null && version.lessEquals(HttpVersion.HTTP_1_0);
            LengthFields fields =
                    new LengthFields(
                            values(response, HttpHeaders.CONTENT_LENGTH),
                            values(response, HttpHeaders.TRANSFER_ENCODING));
            fields.check(isHttp10);
            return response;
        }

        private static List<String> values(ClassicHttpResponse response, String name) {
            return Stream.of(response.getHeaders(name)).map(Header::getValue).toList();
        }
    }
}
