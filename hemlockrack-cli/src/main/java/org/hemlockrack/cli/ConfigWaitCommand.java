package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Waits until a version is in force on every reachable instance. */
public final class ConfigWaitCommand extends Command {
    private long mVersion;
    private long mTimeoutMillis = 10_000;

    /**
     * Sets the version.
     *
     * @param version the version
     * @return this command
     */
    public ConfigWaitCommand setVersion(long version) {
        mVersion = version;
        return this;
    }

    /**
     * Sets when to give up.
     *
     * @param timeoutMillis longest wait in milliseconds
     * @return this command
     */
    public ConfigWaitCommand setTimeoutMillis(long timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("wait until a version is in force everywhere");
        parser.addArgument("version").type(Long.class);
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    @Override
    void take(Namespace options) {
        mVersion = options.getLong("version");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    @Override
    public int call() {
        OperatorClient.Answer answer =
                sendAndWait(
                        "GET",
                        "/operator/v1/config/wait?version="
                                + mVersion
                                + "&timeout_ms="
                                + mTimeoutMillis,
                        mTimeoutMillis);
        if (answer.isError()) {
            return refused(answer);
        }
        JsonNode result = parse(answer.body());
        boolean inForce = result.path("in_force").asBoolean();
        if (json()) {
            out().println(answer.body());
            return inForce ? EXIT_DONE : EXIT_FAILED;
        }
        String state = inForce ? "is in force on every reachable instance" : "is not in force yet";
        out().println("version " + mVersion + " " + state);
        list("without it", result.path("missing"));
        list("unreachable", result.path("unreachable"));
        return inForce ? EXIT_DONE : EXIT_FAILED;
    }

    private void list(String label, JsonNode names) {
        if (!names.isEmpty()) {
            out().println(label + ": " + Table.join(names, ", "));
        }
    }
}
