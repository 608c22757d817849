package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the replicas in the membership of the log's leader. */
public final class VotersListCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list the voters and learners; --address must be that of the leader");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/voters");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        JsonNode result = parse(response.body());
        Table.of("instance", "standing", "replica").addRows(result.path("voters")).print(out());
        out().println("leader: " + result.path("leader").asText());
        return EXIT_SUCCESS;
    }
}
