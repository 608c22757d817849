package org.hemlockrack.placement;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.hemlockrack.model.WorkspaceId;

/**
 * Identifies a chat for placement. Equal inputs give equal keys on every instance and release.
 *
 * @param hash 64-bit hash of what identifies the chat
 */
public record PlacementKey(long hash) {
    /** SipHash with Guava's fixed default key; the value is part of the fleet-wide contract. */
    private static final HashFunction HASH = Hashing.sipHash24();

    private static final int KIND_CHAT = 1;
    private static final int KIND_PROMPT = 2;

    /**
     * Returns the key of a chat that the caller identified. Chat ids of different workspaces never
     * share a key, except by hash collision.
     *
     * @param workspace workspace of the caller
     * @param chatId the id that the caller stated
     * @return the key
     */
    public static PlacementKey ofChat(WorkspaceId workspace, String chatId) {
        Hasher hasher = HASH.newHasher().putInt(KIND_CHAT);
        put(hasher, workspace.value());
        put(hasher, chatId);
        return new PlacementKey(hasher.hash().asLong());
    }

    /**
     * Returns the key of a chat without a stated id. All later turns repeat these messages, so they
     * give the same key.
     *
     * @param workspace workspace of the caller
     * @param model name of the model
     * @param systemMessage the system message, empty if there is none
     * @param firstUserMessage the first user message, empty if there is none
     * @return the key
     */
    public static PlacementKey ofPrompt(
            WorkspaceId workspace, String model, String systemMessage, String firstUserMessage) {
        Hasher hasher = HASH.newHasher().putInt(KIND_PROMPT);
        put(hasher, workspace.value());
        put(hasher, model);
        put(hasher, systemMessage);
        put(hasher, firstUserMessage);
        return new PlacementKey(hasher.hash().asLong());
    }

    /** Prefixes the length, so that ("ab", "c") and ("a", "bc") differ. */
    private static void put(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
