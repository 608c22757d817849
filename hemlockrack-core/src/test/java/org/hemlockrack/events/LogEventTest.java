package org.hemlockrack.events;

import static org.junit.jupiter.api.Assertions.assertEquals;
import static org.junit.jupiter.api.Assertions.assertTrue;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.HashSet;
import java.util.Set;
import java.util.logging.Level;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class LogEventTest {
    private static final Path PAGE = Path.of("..", "docs", "log-events.md");
    private static final Path OPERATORS_PAGE = Path.of("..", "docs", "operators", "log-events.md");

    /** Guards against events that are missing in the documentation. */
    @Test
    void documentationMatchesEnum() throws IOException {
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

    /** Guards against warnings without instructions in the operators' documentation. */
    @Test
    void operatorsDocumentationCoversAllWarnings() throws IOException {
        Set<String> documented =
                Files.readAllLines(OPERATORS_PAGE).stream()
                        .filter(line -> line.startsWith("| HR"))
                        .map(line -> line.split("\\|"))
                        .map(cells -> cells[1].trim() + " " + cells[2].trim())
                        .collect(Collectors.toSet());
        Set<String> actual =
                Arrays.stream(LogEvent.values())
                        .filter(event -> event.level().intValue() >= Level.WARNING.intValue())
                        .map(event -> event.tag() + " " + event.level())
                        .collect(Collectors.toSet());
        assertEquals(actual, documented);
    }

    /** Guards against two events with the same number. */
    @Test
    void numbersAreUnique() {
        Set<Integer> seen = new HashSet<>();
        for (LogEvent event : LogEvent.values()) {
            assertTrue(seen.add(event.number()), event + " reuses a number");
        }
    }
}
