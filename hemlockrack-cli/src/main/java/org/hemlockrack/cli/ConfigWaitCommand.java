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
     * Sets the timeout.
     *
     * @param timeoutMillis longest wait in milliseconds
     * @return this command
     */
    public ConfigWaitCommand setTimeoutMillis(long timeoutMillis) {
        mTimeoutMillis = timeoutMillis;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help("wait until a version is in force everywhere");
        parser.addArgument("version").type(Long.class);
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    @Override
    void readOptions(Namespace options) {
        mVersion = options.getLong("version");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    @Override
    public int call() {
        OperatorClient.Response response =
                sendAndWait(
                        "GET",
                        "/operator/v1/config/wait?version="
                                + mVersion
                                + "&timeout_ms="
                                + mTimeoutMillis,
                        mTimeoutMillis);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        JsonNode result = parse(response.body());
        boolean inForce = result.path("in_force").asBoolean();
        if (isJson()) {
            out().println(response.body());
            return inForce ? EXIT_SUCCESS : EXIT_FAILED;
        }
        String state = inForce ? "is in force on every reachable instance" : "is not in force yet";
        out().println("version " + mVersion + " " + state);
        printList("without it", result.path("missing"));
        printList("unreachable", result.path("unreachable"));
        return inForce ? EXIT_SUCCESS : EXIT_FAILED;
    }

    private void printList(String label, JsonNode names) {
        if (!names.isEmpty()) {
            out().println(label + ": " + Table.join(names, ", "));
        }
    }
}
