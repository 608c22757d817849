package org.hemlockrack.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertNull;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PromptPartsTest {
    /** Guards against accusing the last part, which no other request has. */
    @Test
    void lastPartIsNotShared() {
        assertEquals(List.of("a", "b"), PromptParts.of(List.of("a", "b", "a", "c")).shared());
        assertEquals(List.of(), PromptParts.of(List.of("a")).shared());
        assertEquals(List.of(), PromptParts.of(List.of()).shared());
        assertEquals("c", PromptParts.of(List.of("a", "b", "c")).own());
        assertEquals(List.of("a", "b"), PromptParts.of(List.of("a", "b")).all());
        assertNull(PromptParts.of(List.of()).own());
    }

    /** Guards against requests whose parts use unbounded memory. */
    @Test
    void numberAndLengthAreBounded() {
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            parts.add(i + "x".repeat(1_000));
        }
        List<String> shared = PromptParts.of(parts).shared();
        assertEquals(64, shared.size());
        assertTrue(shared.stream().allMatch(name -> name.length() <= 40), shared.toString());
    }
}
