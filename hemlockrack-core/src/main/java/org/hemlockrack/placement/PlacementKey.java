package org.hemlockrack.placement;

import com.google.common.hash.HashFunction;
import com.google.common.hash.Hasher;
import com.google.common.hash.Hashing;
import java.nio.charset.StandardCharsets;
import org.hemlockrack.model.WorkspaceId;

/**
 * Identifies a chat for placement. Equal inputs give equal keys on all instances and in all
 * releases.
 *
 * @param hash 64-bit hash of the attributes that identify the chat
 */
public record PlacementKey(long hash) {
    /** SipHash with Guava's fixed default key. All instances must hash equally; don't change it. */
    private static final HashFunction HASH = Hashing.sipHash24();

    private static final int KIND_CHAT = 1;
    private static final int KIND_PROMPT = 2;

    /**
     * Returns the key of a chat with an id stated by the caller. Equal chat ids of different
     * workspaces have different keys, except by hash collision.
     *
     * @param workspace workspace of the caller
     * @param chatId the stated id
     * @return the key
     */
    public static PlacementKey ofChat(WorkspaceId workspace, String chatId) {
        Hasher hasher = HASH.newHasher().putInt(KIND_CHAT);
        put(hasher, workspace.value());
        put(hasher, chatId);
        return new PlacementKey(hasher.hash().asLong());
    }

    /**
     * Returns the key of a chat without a stated id. All turns of a chat repeat its first messages,
     * so they have the same key.
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

    /** Hashes the length before the text, so that ("ab", "c") and ("a", "bc") differ. */
    private static void put(Hasher hasher, String text) {
        hasher.putInt(text.length()).putString(text, StandardCharsets.UTF_8);
    }
}
