package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import java.time.Instant;
import java.time.temporal.ChronoUnit;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Lists the versions of the configuration with their times in UTC. */
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
        parse(answer.body()).path("versions").forEach(this::print);
        return EXIT_DONE;
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
