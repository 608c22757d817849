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

/** Encodes and decodes single Thrift structs in the compact protocol. */
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
            throw HemlockrackException.of(
                    ErrorKind.INTERNAL, "cannot encode " + structName(struct), e);
        }
    }

    /**
     * Decodes a struct that occupies all of the given bytes.
     *
     * @param bytes the bytes
     * @param maxBytes maximum accepted size
     * @param struct an empty struct to fill
     * @param <T> type of the struct
     * @return the filled struct
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if there are too many bytes
     *     or they are not exactly one struct
     */
    public static <T extends TBase<T, ?>> T decode(byte[] bytes, int maxBytes, T struct) {
        if (bytes.length > maxBytes) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(
                            ErrorText.STRUCT_TOO_LARGE,
                            structName(struct),
                            bytes.length,
                            maxBytes));
        }
        try {
            TMemoryInputTransport transport = openTransport(bytes);
            struct.read(new TCompactProtocol(transport, bytes.length, bytes.length));
            if (transport.getBytesRemainingInBuffer() != 0) {
                throw malformed(struct, "bytes follow the struct", null);
            }
            return struct;
        } catch (TException | IllegalArgumentException | IndexOutOfBoundsException e) {
            throw malformed(struct, String.valueOf(e.getMessage()), e);
        }
    }

    /**
     * Checks that the sender set a field.
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
     * Checks that the sender set a text field and that its length is within a limit.
     *
     * @param what name of the field
     * @param value its value
     * @param maxChars maximum number of characters
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

    private static TMemoryInputTransport openTransport(byte[] bytes) throws TTransportException {
        TConfiguration limits = TConfiguration.custom().setMaxMessageSize(bytes.length + 1).build();
        return new TMemoryInputTransport(limits, bytes);
    }

    private static HemlockrackException malformed(
            TBase<?, ?> struct, String reason, @Nullable Exception cause) {
        String text = String.format(ErrorText.STRUCT_MALFORMED, structName(struct), reason);
        return cause == null
                ? HemlockrackException.of(ErrorKind.BAD_REQUEST, text)
                : HemlockrackException.of(ErrorKind.BAD_REQUEST, text, cause);
    }

    private static String structName(TBase<?, ?> struct) {
        return struct.getClass().getSimpleName();
    }
}
