package org.hemlockrack.config;

import com.google.common.hash.HashCode;
import com.google.common.io.BaseEncoding;
import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.security.NoSuchAlgorithmException;
import java.util.Optional;
import java.util.random.RandomGenerator;
import java.util.regex.Matcher;
import java.util.regex.Pattern;

/**
 * A bearer key {@code ws.<id>.<secret>}. The id selects the stored salt and hash, so that checking
 * a key computes one hash. Secrets have 192 random bits, so a salted SHA-256 is safe against brute
 * force; a slow hash would only slow down the first request of every key.
 *
 * @param id key id, 1 to 64 letters, digits, {@code _} and {@code -}
 * @param secret secret of 32 to 128 letters, digits, {@code _} and {@code -}
 */
public record BearerKey(String id, String secret) {
    private static final Pattern SYNTAX =
            Pattern.compile("ws\\.([A-Za-z0-9][A-Za-z0-9_-]{0,63})\\.([A-Za-z0-9_-]{32,128})");
    private static final int SECRET_BYTES = 24;
    private static final int SALT_BYTES = 16;

    /**
     * What the configuration stores of a key.
     *
     * @param saltHex salt in hexadecimal digits
     * @param hashHex SHA-256 of salt and secret in hexadecimal digits
     */
    public record SaltedHash(String saltHex, String hashHex) {}

    /**
     * Parses a key.
     *
     * @param text the text after {@code Bearer}
     * @return the key, or empty if the text is malformed
     */
    public static Optional<BearerKey> parse(String text) {
        Matcher matcher = SYNTAX.matcher(text);
        if (!matcher.matches()) {
            return Optional.empty();
        }
        return Optional.of(new BearerKey(matcher.group(1), matcher.group(2)));
    }

    /**
     * Creates a key with a random secret.
     *
     * @param id key id
     * @param random a cryptographically strong source
     * @return the key
     */
    public static BearerKey create(String id, RandomGenerator random) {
        byte[] secret = new byte[SECRET_BYTES];
        random.nextBytes(secret);
        return new BearerKey(id, BaseEncoding.base64Url().omitPadding().encode(secret));
    }

    /**
     * Hashes the secret with a new random salt.
     *
     * @param random source of the salt
     * @return salt and hash
     */
    public SaltedHash createSaltedHash(RandomGenerator random) {
        byte[] salt = new byte[SALT_BYTES];
        random.nextBytes(salt);
        return new SaltedHash(
                HashCode.fromBytes(salt).toString(),
                HashCode.fromBytes(hash(salt, secret)).toString());
    }

    /**
     * Compares the secret with a stored hash in constant time.
     *
     * @param stored salt and hash
     * @return whether the secret matches
     */
    public boolean matches(SaltedHash stored) {
        byte[] salt = HashCode.fromString(stored.saltHex()).asBytes();
        byte[] expected = HashCode.fromString(stored.hashHex()).asBytes();
        return MessageDigest.isEqual(expected, hash(salt, secret));
    }

    /** Returns the text that callers send. */
    public String text() {
        return "ws." + id + "." + secret;
    }

    /** Returns the key without the secret. */
    @Override
    public String toString() {
        return "ws." + id + ".***";
    }

    private static byte[] hash(byte[] salt, String secret) {
        try {
            MessageDigest digest = MessageDigest.getInstance("SHA-256");
            digest.update(salt);
            return digest.digest(secret.getBytes(StandardCharsets.US_ASCII));
        } catch (NoSuchAlgorithmException e) {
            throw new IllegalStateException("every Java runtime has SHA-256", e);
        }
    }
}
