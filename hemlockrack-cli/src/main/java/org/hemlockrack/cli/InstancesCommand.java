package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the instances of the fleet. */
public final class InstancesCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("list the instances");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/instances");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        Table.of("id", "zone", "region", "status", "ready", "draining", "config_version")
                .add(parse(answer.body()).path("instances"))
                .print(out());
        return EXIT_DONE;
    }
}
