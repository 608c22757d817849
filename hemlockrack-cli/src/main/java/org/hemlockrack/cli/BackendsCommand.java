package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the backend servers. */
public final class BackendsCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list the backend servers");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/backends");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        Table.of("id", "service", "zone", "state", "owner", "address", "limit", "models")
                .addRows(parse(response.body()).path("backends"))
                .print(out());
        return EXIT_SUCCESS;
    }
}
