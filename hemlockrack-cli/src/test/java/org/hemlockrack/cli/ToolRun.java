package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.io.ByteArrayOutputStream;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;

/**
 * The outcome of one run of the tool.
 *
 * @param code exit code
 * @param out what it printed as results
 * @param err what it printed as faults
 */
record ToolRun(int code, String out, String err) {
    static ToolRun of(String... args) {
        ByteArrayOutputStream out = new ByteArrayOutputStream();
        ByteArrayOutputStream err = new ByteArrayOutputStream();
        int code = Main.run(args, printer(out), printer(err));
        return new ToolRun(
                code, out.toString(StandardCharsets.UTF_8), err.toString(StandardCharsets.UTF_8));
    }

    private static PrintStream printer(ByteArrayOutputStream bytes) {
        return new PrintStream(bytes, true, StandardCharsets.UTF_8);
    }

    JsonNode json() {
        return Command.parse(out);
    }
}
