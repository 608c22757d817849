package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.node.ObjectNode;
import java.util.List;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Prints the configuration in force on an instance. */
public final class ConfigGetCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("print the configuration in force");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        String accept = json() ? "application/json" : "application/toml";
        OperatorClient.Answer answer =
                send(
                        "GET",
                        "/operator/v1/config",
                        List.of(new OperatorClient.Field("Accept", accept)),
                        null);
        if (answer.isError()) {
            return refused(answer);
        }
        String version = answer.etag().replace("\"", "");
        if (json()) {
            ObjectNode json = emptyJson();
            json.put("version", Long.parseLong(version));
            json.set("configuration", parse(answer.body()));
            out().println(json);
            return EXIT_DONE;
        }
        out().println("# version " + version);
        out().println(answer.body());
        return EXIT_DONE;
    }
}
