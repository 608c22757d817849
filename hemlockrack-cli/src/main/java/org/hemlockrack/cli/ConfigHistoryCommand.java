package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the versions of the configuration with their times in UTC. */
public final class ConfigHistoryCommand extends Command {
    @Override
    void declareOptions(Subparser parser) {
        parser.help("list the configuration versions");
    }

    @Override
    void readOptions(Namespace options) {}

    @Override
    public int call() {
        OperatorClient.Response response = send("GET", "/operator/v1/config/history");
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        parse(response.body()).path("versions").forEach(this::print);
        return EXIT_SUCCESS;
    }

    private void print(JsonNode version) {
        Instant time = Instant.ofEpochMilli(version.path("time_ms").asLong());
        out().println(
                        "version "
                                + version.path("version").asLong()
                                + "  "
                                + time.truncatedTo(ChronoUnit.SECONDS)
                                + "  "
                                + version.path("author").asText()
                                + "  request "
                                + version.path("request_id").asText());
        version.path("differences").forEach(row -> out().println("    " + row.asText()));
    }
}
