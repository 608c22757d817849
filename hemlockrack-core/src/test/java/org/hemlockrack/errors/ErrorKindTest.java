package org.hemlockrack.errors;

import static org.junit.jupiter.api.Assertions.assertEquals;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Arrays;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;
import org.junit.jupiter.api.Test;

class ErrorKindTest {
    private static final Path PAGE = Path.of("..", "docs", "errors.md");

    /** Guards against documentation that differs from the statuses and run states of the code. */
    @Test
    void documentationMatchesEnum() throws IOException {
        Set<String> documented =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.matches("\\| [A-Z_]+ \\|.*"))
                        .collect(Collectors.toSet());
        List<ErrorKind> kinds = Arrays.asList(ErrorKind.values());
        Set<String> actual =
                kinds.stream().map(ErrorKindTest::documentedRow).collect(Collectors.toSet());
        assertEquals(actual, documented);
    }

    private static String documentedRow(ErrorKind kind) {
        String retry = kind.isRetryable() ? "yes" : "no";
        return String.format(
                "| %s | %d | %s | %s |",
                kind, kind.httpStatus(), kind.runState().wireName(), retry);
    }
}
