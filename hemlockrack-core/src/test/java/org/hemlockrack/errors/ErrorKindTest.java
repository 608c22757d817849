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

    /** Guards against a page that promises callers another status or run state than the code. */
    @Test
    void pageMatchesEnum() throws IOException {
        Set<String> documented =
                Files.readAllLines(PAGE).stream()
                        .filter(line -> line.matches("\\| [A-Z_]+ \\|.*"))
                        .collect(Collectors.toSet());
        List<ErrorKind> kinds = Arrays.asList(ErrorKind.values());
        Set<String> actual = kinds.stream().map(ErrorKindTest::row).collect(Collectors.toSet());
        assertEquals(actual, documented);
    }

    private static String row(ErrorKind kind) {
        String retry = kind.isRetryable() ? "yes" : "no";
        return String.format(
                "| %s | %d | %s | %s |",
                kind, kind.httpStatus(), kind.runState().wireName(), retry);
    }
}
