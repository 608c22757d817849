package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the replicas of the log as the leader sees them. */
public final class VotersListCommand extends Command {
    @Override
    void declare(Subparser parser) {
        parser.help("list the voters and learners; asks the instance with the leader");
    }

    @Override
    void take(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Answer answer = send("GET", "/operator/v1/voters");
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        JsonNode result = parse(answer.body());
        Table.of("instance", "standing", "replica").add(result.path("voters")).print(out());
        out().println("leader: " + result.path("leader").asText());
        return EXIT_DONE;
    }
}
