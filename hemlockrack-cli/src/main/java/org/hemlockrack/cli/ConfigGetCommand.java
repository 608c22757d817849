package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints the configuration in force on an instance. */
public final class ConfigGetCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("print the configuration in force");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        String accept = isJson() ? "application/json" : "application/toml";
        OperatorClient.Response response =
                send(
                        "GET",
                        "/operator/v1/config",
                        List.of(new OperatorClient.HeaderField("Accept", accept)),
                        null);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        String version = response.etag().replace("\"", "");
        if (isJson()) {
            ObjectNode json = emptyJson();
            json.put("version", Long.parseLong(version));
            json.set("configuration", parse(response.body()));
            out().println(json);
            return EXIT_SUCCESS;
        }
        out().println("# version " + version);
        out().println(response.body());
        return EXIT_SUCCESS;
    }
}
