package org.hemlockrack.claims;

import com.google.common.hash.HashCode;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.hemlockrack.errors.ErrorKind;
import org.hemlockrack.errors.ErrorText;
import org.hemlockrack.errors.HemlockrackException;

/**
 * SHA-256 over method, path and body of a request. It detects an idempotency key that is reused for
 * another request.
 *
 * @param value 32 bytes
 */
public record BodyHash(HashCode value) {
    private static final int BITS = 256;

    /** Rejects a hash that is not 32 bytes long. */
    public BodyHash {
        if (value.bits() != BITS) {
            throw HemlockrackException.of(
                    ErrorKind.BAD_REQUEST,
                    String.format(ErrorText.STRUCT_MALFORMED, "body hash", value.bits() + " bits"));
        }
    }

    /**
     * Hashes a request.
     *
     * @param method HTTP method
     * @param path path with query
     * @param body the body
     * @return the hash
     */
    public static BodyHash of(String method, String path, byte[] body) {
        HashCode hash =
                Hashing.sha256()
                        .newHasher()
                        .putInt(method.length())
                        .putString(method, StandardCharsets.UTF_8)
                        .putInt(path.length())
                        .putString(path, StandardCharsets.UTF_8)
                        .putBytes(body)
                        .hash();
        return new BodyHash(hash);
    }
}
