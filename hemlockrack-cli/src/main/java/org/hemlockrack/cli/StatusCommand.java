package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints the status of one instance and its view of the fleet. */
public final class StatusCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("print an instance's status and its view of the fleet");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/status");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        parse(response.body())
                .properties()
                .forEach(field -> out().println(field.getKey() + ": " + text(field.getValue())));
        return EXIT_SUCCESS;
    }

    private static String text(JsonNode value) {
        return value.isValueNode() ? value.asText() : value.toString();
    }
}
