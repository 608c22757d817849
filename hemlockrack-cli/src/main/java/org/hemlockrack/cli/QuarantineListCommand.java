package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the prompt parts that are held back because they crash backend servers, or were. */
public final class QuarantineListCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list the prompt parts that are held back; --address is that of a controller");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/quarantine");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        Table.of("part", "held", "reason", "crashes", "holds", "since", "until")
                .addRows(parse(response.body()).path("parts"))
                .print(out());
        return EXIT_SUCCESS;
    }
}
