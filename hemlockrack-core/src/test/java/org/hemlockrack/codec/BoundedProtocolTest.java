package org.hemlockrack.codec;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertThrows;

import java.nio.ByteBuffer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.protocol.TType;
import org.apache.thrift.transport.TMemoryBuffer;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.hemlockrack.limits.ParseMemory;
import org.hemlockrack.wire.Envelope;
import org.hemlockrack.wire.Slice;
import org.junit.jupiter.api.Test;

class BoundedProtocolTest {
    private final ParseMemory mMemory = ParseMemory.of(1 << 20);
    private final TMemoryBuffer mBuffer;
    private final TCompactProtocol mOut;

    BoundedProtocolTest() throws TException {
        mBuffer = new TMemoryBuffer(1 << 10);
        mOut = new TCompactProtocol(mBuffer);
    }

    private BoundedProtocol input() throws TException {
        return BoundedProtocol.of(
                new TMemoryInputTransport(mBuffer.getArray(), 0, mBuffer.length()), mMemory);
    }

    /** Guards against an allocation by the length that a list states. */
    @Test
    void listLongerThanItsMessageIsRefused() throws TException {
        mOut.writeListBegin(new TList(TType.STRUCT, 500_000_000));
        TProtocolException refusal = assertThrows(TProtocolException.class, input()::readListBegin);
        assertEquals(TProtocolException.SIZE_LIMIT, refusal.getType());
    }

    /** Guards against structs of one byte that take many times as much. */
    @Test
    void emptyStructsAreCounted() throws TException {
        for (int i = 0; i < 100_000; i++) {
            mOut.writeFieldStop();
        }
        BoundedProtocol in = input();
        assertThrows(
                TProtocolException.class,
                () -> {
                    for (int i = 0; i < 100_000; i++) {
                        new Envelope().read(in);
                    }
                });
        in.close();
        assertEquals(0, mMemory.reservedBytes());
    }

    /** Guards against a limit that an ordinary message with a large payload meets. */
    @Test
    void messageOfHalfTheMemoryIsRead() throws TException {
        Envelope sent = new Envelope("a", "b", Slice.CONSENSUS, ByteBuffer.allocate(512 << 10));
        sent.write(mOut);
        Envelope received = new Envelope();
        try (BoundedProtocol in = input()) {
            received.read(in);
        }
        assertEquals(sent, received);
        assertEquals(0, mMemory.reservedBytes());
    }
}
