package org.hemlockrack.codec;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** Compresses documents that instances send to each other. */
public final class Deflate {
    /** Maximum decompressed size; bounds what a peer can make this process allocate. */
    private static final int MAX_DECOMPRESSED_BYTES = 16 << 20;

    private Deflate() {}

    /**
     * Compresses bytes.
     *
     * @param bytes the bytes
     * @return the compressed bytes
     */
    public static byte[] deflate(byte[] bytes) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        Deflater deflater = new Deflater(Deflater.BEST_SPEED);
        try (DeflaterOutputStream stream = new DeflaterOutputStream(out, deflater)) {
            stream.write(bytes);
        } catch (IOException e) {
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot compress the document", e);
        } finally {
            deflater.end();
        }
        return out.toByteArray();
    }

    /**
     * Decompresses bytes.
     *
     * @param bytes compressed bytes
     * @return the decompressed bytes
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are damaged or more
     *     than 16 MiB
     */
    public static byte[] inflate(byte[] bytes) {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] decompressed = in.readNBytes(MAX_DECOMPRESSED_BYTES + 1);
            if (decompressed.length > MAX_DECOMPRESSED_BYTES) {
                throw HemlockrackException.of(
                        ErrorKind.BAD_REQUEST,
                        "document exceeds " + MAX_DECOMPRESSED_BYTES + " bytes");
            }
            return decompressed;
        } catch (IOException e) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST, "the compressed document is damaged", e);
        }
    }
}
