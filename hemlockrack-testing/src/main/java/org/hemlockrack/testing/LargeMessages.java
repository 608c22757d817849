package org.hemlockrack.testing;

import java.nio.charset.StandardCharsets;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TField;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMessage;
import org.apache.thrift.protocol.TMessageType;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.layered.TFramedTransport;

/** Whole messages of legal size that become much larger when they are parsed. */
public final class LargeMessages {
    private LargeMessages() {}

    /**
     * Returns a request whose body is a JSON text of many empty arrays.
     *
     * @param firstLines request line, and fields if any
     * @param prefix begin of the JSON text
     * @param bodyBytes approximate size of the body
     * @return the script of a client that sends it whole
     */
    public static RequestCrowd.Script emptyArrays(String firstLines, String prefix, int bodyBytes) {
        return request(firstLines, prefix + "[", "[],", bodyBytes / 3, "[]]");
    }

    /**
     * Returns a request with a JSON text of one long string.
     *
     * @param firstLines request line, and fields if any
     * @param bodyBytes approximate size of the body
     * @return the script of a client that sends it whole
     */
    public static RequestCrowd.Script longString(String firstLines, int bodyBytes) {
        return request(firstLines, "{\"version\":\"", "x", bodyBytes, "\"}");
    }

    private static RequestCrowd.Script request(
            String firstLines, String begin, String part, int times, String end) {
        String body = begin + part.repeat(times) + end;
        String head =
                firstLines
                        + "\r\nHost: 127.0.0.1\r\nContent-Type: application/json\r\n"
                        + "If-Match: \"1\"\r\nContent-Length: "
                        + body.length()
                        + "\r\n\r\n";
        byte[] bytes = (head + body).getBytes(StandardCharsets.ISO_8859_1);
        return (client, out) -> out.write(bytes);
    }

    /**
     * Returns a frame of the peer port with a list of empty messages.
     *
     * @param announced length of the list that the frame states
     * @param present number of messages that it has
     * @return the script of a client that sends it whole
     * @throws TException if the frame cannot be built
     */
    public static RequestCrowd.Script emptyEnvelopes(int announced, int present) throws TException {
        TMemoryBuffer buffer = new TMemoryBuffer(present + 100);
        TFramedTransport frame = new TFramedTransport(buffer);
        TCompactProtocol out = new TCompactProtocol(frame);
        out.writeMessageBegin(new TMessage("deliver", TMessageType.ONEWAY, 1));
        out.writeFieldBegin(new TField("envelopes", TType.LIST, (short) 1));
        out.writeListBegin(new TList(TType.STRUCT, announced));
        for (int i = 0; i < present; i++) {
            out.writeFieldStop();
        }
        out.writeFieldStop();
        out.writeMessageEnd();
        frame.flush();
        byte[] bytes = buffer.getArray();
        int length = buffer.length();
        return (client, sink) -> sink.write(bytes, 0, length);
    }
}
