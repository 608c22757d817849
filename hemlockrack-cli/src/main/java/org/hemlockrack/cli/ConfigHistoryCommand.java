package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the versions of the configuration. */
public final class ConfigHistoryCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("list the versions");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/config/history");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        Table.of("version", "time_ms", "author", "request_id", "differences")
                .add(parse(answer.body()).path("versions"))
                .print(out());
        return EXIT_DONE;
    }
}
