package org.hemlockrack.cli;

import com.fasterxml.jackson.databind.JsonNode;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Makes an instance a voter or removes it from the voters. */
public final class VotersChangeCommand extends Command {
    private final String mAction;
    private String mName = "";
    private long mTimeoutMillis = 30_000;

    private VotersChangeCommand(String action) {
        mAction = action;
    }

    /**
     * Creates the command.
     *
     * @param action {@code add} or {@code remove}
     * @return the command
     */
    public static VotersChangeCommand of(String action) {
        return new VotersChangeCommand(action);
    }

    /**
     * Sets the instance to add or remove.
     *
     * @param name id of the instance
     * @return this command
     */
    public VotersChangeCommand setName(String name) {
        mName = name;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help(mAction + " a voter; --address must be that of the leader");
        parser.addArgument("name").help("id of the instance");
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    @Override
    void readOptions(Namespace options) {
        mName = options.getString("name");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    @Override
    public int call() {
        String path =
                "/operator/v1/voters/"
                        + encodePathSegment(mName)
                        + "/"
                        + mAction
                        + "?timeout_ms="
                        + mTimeoutMillis;
        OperatorClient.Response response = sendAndWait("POST", path, mTimeoutMillis);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        if (isJson()) {
            out().println(response.body());
            return EXIT_SUCCESS;
        }
        JsonNode result = parse(response.body());
        Table.of("instance", "standing", "replica").addRows(result.path("voters")).print(out());
        return EXIT_SUCCESS;
    }
}
