package org.hemlockrack.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class LogEventTest {
    private static final Path PAGE = Path.of("..", "docs", "log-events.md");

    /** Guards against events that operators cannot look up. */
    @Test
    void pageMatchesEnum() throws IOException {
        Set<String> documented =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.startsWith("| HR"))
                        .map(line -> line.split("\\|"))
                        .map(cells -> cells[1].trim() + " " + cells[2].trim())
                        .collect(Collectors.toSet());
        Set<String> actual =
                Arrays.stream(LogEvent.values()).map(LogEvent::tag).collect(Collectors.toSet());
        assertEquals(actual, documented);
    }

    /** Guards against two events under one number. */
    @Test
    void numbersAreUnique() {
        Set<Integer> seen = new HashSet<>();
        for (LogEvent event : LogEvent.values()) {
            assertTrue(seen.add(event.number()), event + " reuses a number");
        }
    }
}
