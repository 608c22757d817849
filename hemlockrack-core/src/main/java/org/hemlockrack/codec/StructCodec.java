package org.hemlockrack.codec;

import org.apache.thrift.TBase;
import org.apache.thrift.TConfiguration;
import org.apache.thrift.TException;
import org.apache.thrift.TSerializer;
import org.apache.thrift.protocol.TCompactProtocol;
import org.apache.thrift.transport.TMemoryInputTransport;
import org.apache.thrift.transport.TTransportException;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;
import org.jspecify.annotations.Nullable;

/** Writes and reads single Thrift structs in the compact protocol. */
public final class StructCodec {
    private StructCodec() {}

    /**
     * Encodes a struct.
     *
     * @param struct the struct
     * @return its bytes
     */
    public static byte[] encode(TBase<?, ?> struct) {
        try {
            return new TSerializer(new TCompactProtocol.Factory()).serialize(struct);
        } catch (TException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot encode " + name(struct), e);
        }
    }

    /**
     * Decodes a struct that fills all bytes.
     *
     * @param bytes the bytes
     * @param maxBytes most bytes accepted
     * @param empty an empty struct to fill
     * @param <T> type of the struct
     * @return the filled struct
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if there are too many bytes
     *     or they are not one whole struct
     */
    public static <T extends TBase<T, ?>> T decode(byte[] bytes, int maxBytes, T empty) {
        if (bytes.length > maxBytes) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.STRUCT_TOO_LARGE, name(empty), bytes.length, maxBytes));
        }
        try {
            TMemoryInputTransport transport = open(bytes);
            empty.read(new TCompactProtocol(transport, bytes.length, bytes.length));
            if (transport.getBytesRemainingInBuffer() != 0) {
                throw malformed(empty, "bytes follow the struct", null);
            }
            return empty;
        } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw malformed(empty, String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Requires a field that the sender must have set.
     *
     * @param what name of the field
     * @param value its value
     * @param <T> type of the field
     * @return the value
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not set
     */
    public static <T> T require(String what, @Nullable T value) {
        if (value == null) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.STRUCT_MALFORMED, what, "not set"));
        }
        return value;
    }

    /**
     * Requires a text of a bounded length.
     *
     * @param what name of the field
     * @param value its value
     * @param maxChars most characters
     * @return the value
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if it is not set, empty or
     *     too long
     */
    public static String requireText(String what, @Nullable String value, int maxChars) {
        String text = require(what, value);
        if (text.isEmpty() || text.length() > maxChars) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.TEXT_LENGTH, what, text.length(), maxChars));
        }
        return text;
    }

    private static TMemoryInputTransport open(byte[] bytes) throws TTransportException {
        TConfiguration limits = TConfiguration.custom().setMaxMessageSize(bytes.length + 1).build();
        return new TMemoryInputTransport(limits, bytes);
    }

    private static HemlockrackException malformed(
            TBase<?, ?> struct, String reason, @Nullable Exception cause) {
        String text = String.format(ErrorText.STRUCT_MALFORMED, name(struct), reason);
        return cause == null
                ? HemlockrackException.of(ErrorKind.BAD_REQUEST, text)
                : HemlockrackException.of(ErrorKind.BAD_REQUEST, text, cause);
    }

    private static String name(TBase<?, ?> struct) {
        return struct.getClass().getSimpleName();
    }
}
