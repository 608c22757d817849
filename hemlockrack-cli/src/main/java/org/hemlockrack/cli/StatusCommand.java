package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints what one instance knows. */
public final class StatusCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("print what an instance knows");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/status");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        parse(answer.body())
                .properties()
                .forEach(field -> out().println(field.getKey() + ": " + text(field.getValue())));
        return EXIT_DONE;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
