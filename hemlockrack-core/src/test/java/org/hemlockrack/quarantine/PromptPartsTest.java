package org.hemlockrack.quarantine;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.util.ArrayList;
import java.util.List;
import org.junit.jupiter.api.Test;

class PromptPartsTest {
    /** Guards against accusing the last part, which no other request has. */
    @Test
    void lastPartIsNotShared() {
        assertEquals(List.of("a", "b"), PromptParts.shared(List.of("a", "b", "a", "c")));
        assertEquals(List.of(), PromptParts.shared(List.of("a")));
        assertEquals(List.of(), PromptParts.shared(List.of()));
    }

    /** Guards against requests whose parts use unbounded memory. */
    @Test
    void numberAndLengthAreBounded() {
        List<String> parts = new ArrayList<>();
        for (int i = 0; i < 1_000; i++) {
            parts.add(i + "x".repeat(1_000));
        }
        List<String> shared = PromptParts.shared(parts);
        assertEquals(64, shared.size());
        assertTrue(shared.stream().allMatch(name -> name.length() <= 40), shared.toString());
    }
}
