package org.hemlockrack.config;

import org.hemlockrack.config.internal.ConfigCodec;

/**
 * A change of the configuration.
 *
 * @param change what to change
 * @param requestId idempotency key of the command, the same in each retry, 1 to 128 characters
 * @param author who requested it, 1 to 128 characters
 * @param baseVersion version that must be in force when the command is applied
 */
public record ConfigCommand(Change change, String requestId, String author, long baseVersion) {
    /** What a command changes. */
    public sealed interface Change {}

    /**
     * A JSON merge patch.
     *
     * @param text the patch
     */
    public record JsonPatch(String text) implements Change {}

    /**
     * A TOML patch: tables to merge, and a list {@code remove} of key paths.
     *
     * @param text the patch
     */
    public record TomlPatch(String text) implements Change {}

    /**
     * A rollback to the document of an earlier version, which becomes a new version.
     *
     * @param version the earlier version; 0 is the empty document
     */
    public record Rollback(long version) implements Change {}

    /**
     * Creates a command.
     *
     * @param requestId request id
     * @param author who requested it
     * @param baseVersion version that must be in force
     * @param change what to change
     * @return the command
     */
    public static ConfigCommand of(
            String requestId, String author, long baseVersion, Change change) {
        return new ConfigCommand(change, requestId, author, baseVersion);
    }

    /** Returns the bytes to propose to the replicated log. */
    public byte[] encode() {
        return ConfigCodec.encodeCommand(this);
    }
}
