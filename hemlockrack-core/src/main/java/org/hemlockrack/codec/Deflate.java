package org.hemlockrack.codec;

import java.io.ByteArrayInputStream;
import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.util.zip.Deflater;
import java.util.zip.DeflaterOutputStream;
import java.util.zip.InflaterInputStream;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.HemlockrackException;

/** Compresses documents that travel between instances. */
public final class Deflate {
    /** Largest document; a peer cannot make this process allocate more. */
    private static final int MAX_BYTES = 16 << 20;

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
            throw HemlockrackException.of(ErrorKind.INTERNAL, "cannot deflate", e);
        } finally {
            deflater.end();
        }
        return out.toByteArray();
    }

    /**
     * Restores bytes.
     *
     * @param bytes compressed bytes
     * @return the bytes
     * @throws HemlockrackException with {@link ErrorKind#BAD_REQUEST} if they are damaged or more
     *     than 16 MiB
     */
    public static byte[] inflate(byte[] bytes) {
        try (InflaterInputStream in = new InflaterInputStream(new ByteArrayInputStream(bytes))) {
            byte[] restored = in.readNBytes(MAX_BYTES + 1);
            if (restored.length > MAX_BYTES) {
                throw HemlockrackException.of(
                        ErrorKind.BAD_REQUEST, "document exceeds " + MAX_BYTES + " bytes");
            }
            return restored;
        } catch (IOException e) {
            throw HemlockrackException.of(ErrorKind.BAD_REQUEST, "damaged document", e);
        }
    }
}
