package org.hemlockrack.codec;

import java.nio.ByteBuffer;
import org.apache.thrift.TException;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.protocol.TList;
import org.apache.thrift.protocol.TMap;
import org.apache.thrift.protocol.TProtocol;
import org.apache.thrift.protocol.TProtocolException;
import org.apache.thrift.protocol.TProtocolFactory;
import org.apache.thrift.protocol.TSet;
import org.apache.thrift.protocol.TStruct;
import org.apache.thrift.transport.TTransport;
import org.hemlockrack.errors.HemlockrackException;
import org.hemlockrack.limits.ParseMemory;

/**
 * The compact protocol for messages of others: what a message becomes is reserved while it is read.
 * Thrift allocates a list of structs by its announced length, and empty structs take one byte each.
 */
public final class BoundedProtocol extends TCompactProtocol implements AutoCloseable {
    private static final long STRUCT_BYTES = 64;
    private static final long ELEMENT_BYTES = 8;

    /** Memory of an entry of a hash map or set, with its boxed key and value. */
    private static final long ENTRY_BYTES = 80;

    private static final long TEXT_BYTES = 48;

    private final ParseMemory.Meter mMeter;

    private BoundedProtocol(TTransport transport, ParseMemory memory) {
        super(transport);
        mMeter = memory.open();
    }

    /**
     * Creates a protocol.
     *
     * @param transport holds whole messages
     * @param memory memory for what they become
     * @return the protocol, to be closed after each message
     */
    public static BoundedProtocol of(TTransport transport, ParseMemory memory) {
        return new BoundedProtocol(transport, memory);
    }

    /**
     * Returns a factory of such protocols.
     *
     * @param memory memory that the messages of all protocols share
     * @return the factory
     */
    public static TProtocolFactory factory(ParseMemory memory) {
        return new TProtocolFactory() {
            private static final long serialVersionUID = 1L;

            @Override
            public TProtocol getProtocol(TTransport transport) {
                return of(transport, memory);
            }
        };
    }

    private void add(long bytes) throws TProtocolException {
        try {
            mMeter.add(bytes);
        } catch (HemlockrackException e) {
            throw new TProtocolException(TProtocolException.SIZE_LIMIT, e);
        }
    }

    /** Reserves a container, each of whose elements is at least one byte of the message. */
    private void addContainer(int size, long elementBytes) throws TProtocolException {
        if (size > getTransport().getBytesRemainingInBuffer()) {
            throw new TProtocolException(
                    TProtocolException.SIZE_LIMIT, "a container of " + size + " elements");
        }
        add(size * elementBytes);
    }

    @Override
    public TList readListBegin() throws TException {
        TList list = super.readListBegin();
        addContainer(list.size, ELEMENT_BYTES);
        return list;
    }

    @Override
    public TSet readSetBegin() throws TException {
        TSet set = super.readSetBegin();
        addContainer(set.size, ENTRY_BYTES);
        return set;
    }

    @Override
    public TMap readMapBegin() throws TException {
        TMap map = super.readMapBegin();
        addContainer(map.size, ENTRY_BYTES);
        return map;
    }

    @Override
    public TStruct readStructBegin() throws TException {
        add(STRUCT_BYTES);
        return super.readStructBegin();
    }

    @Override
    public String readString() throws TException {
        String text = super.readString();
        add(TEXT_BYTES + text.length());
        return text;
    }

    @Override
    public ByteBuffer readBinary() throws TException {
        ByteBuffer bytes = super.readBinary();
        add(TEXT_BYTES + bytes.remaining());
        return bytes;
    }

    /** Returns the memory of the message that was read. The protocol can be used again. */
    @Override
    public void close() {
        mMeter.close();
    }
}
