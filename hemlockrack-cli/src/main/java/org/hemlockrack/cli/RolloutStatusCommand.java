package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the running and the last ended roll-outs. */
public final class RolloutStatusCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("list roll-outs");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/rollouts");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        Table.of("id", "service", "model", "from", "to", "status", "share", "reason", "detail")
                .add(parse(answer.body()).path("rollouts"))
                .print(out());
        return EXIT_DONE;
    }
}
