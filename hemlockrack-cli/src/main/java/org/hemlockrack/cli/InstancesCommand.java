package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the instances of the fleet. */
public final class InstancesCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list the instances");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/instances");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        Table.of("id", "zone", "region", "status", "ready", "draining", "config_version")
                .addRows(parse(response.body()).path("instances"))
                .print(out());
        return EXIT_SUCCESS;
    }
}
