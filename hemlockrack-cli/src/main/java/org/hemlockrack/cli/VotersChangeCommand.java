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
     * Sets what to change.
     *
     * @param name id of the instance
     * @return this command
     */
    public VotersChangeCommand setName(String name) {
        mName = name;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help(mAction + " a voter; asks the instance with the leader");
        parser.addArgument("name").help("id of the instance");
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    @Override
    void take(Namespace options) {
        mName = options.getString("name");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    @Override
    public int call() {
        String path =
                "/operator/v1/voters/"
                        + segment(mName)
                        + "/"
                        + mAction
                        + "?timeout_ms="
                        + mTimeoutMillis;
        OperatorClient.Answer answer = sendAndWait("POST", path, mTimeoutMillis);
        if (answer.isError()) {
            return refused(answer);
        }
        if (json()) {
            out().println(answer.body());
            return EXIT_DONE;
        }
        JsonNode result = parse(answer.body());
        Table.of("instance", "standing", "replica").add(result.path("voters")).print(out());
        return EXIT_DONE;
    }
}
