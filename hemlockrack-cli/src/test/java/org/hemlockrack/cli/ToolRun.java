package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * Exit code and output of one run of the tool.
 *
 * @param exitCode exit code
 * @param out standard output
 * @param err standard error
 */
record ToolRun(int exitCode, String out, String err) {
    static ToolRun of(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(args, printStream(out), printStream(err));
        return new ToolRun(
                code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream printStream(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    JsonNode json() {
        return Command.parse(out);
    }
}
