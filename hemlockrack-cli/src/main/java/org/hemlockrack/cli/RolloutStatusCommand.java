package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the running and the most recently ended roll-outs. */
public final class RolloutStatusCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list roll-outs");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/rollouts");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        Table.of("id", "service", "model", "from", "to", "status", "share", "reason", "detail")
                .addRows(parse(response.body()).path("rollouts"))
                .print(out());
        return EXIT_SUCCESS;
    }
}
