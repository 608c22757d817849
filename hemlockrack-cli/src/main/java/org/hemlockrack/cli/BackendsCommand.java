package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the backend servers. */
public final class BackendsCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("list the backend servers");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/backends");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        Table.of("id", "service", "zone", "state", "owner", "address", "limit", "models")
                .add(parse(answer.body()).path("backends"))
                .print(out());
        return EXIT_DONE;
    }
}
