package org.hemlockrack.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A command that sets the state of one zone or instance by a new configuration version, and can
 * wait until that version is in force.
 */
public abstract class SetStateCommand extends Command {
    private final String mCollection;
    private final String mState;
    private final String mHelp;
    private final String mNameHelp;
    private String mName = "";
    private boolean mWait;
    private long mTimeoutMillis = 10_000;

    SetStateCommand(String collection, String state, String help, String nameHelp) {
        mCollection = collection;
        mState = state;
        mHelp = help;
        mNameHelp = nameHelp;
    }

    /**
     * Sets the zone or instance to change.
     *
     * @param name its name
     * @return this command
     */
    public SetStateCommand setName(String name) {
        mName = name;
        return this;
    }

    /**
     * Sets whether the command waits until the version is in force on every reachable instance.
     *
     * @param wait true to wait
     * @return this command
     */
    public SetStateCommand setWait(boolean wait) {
        mWait = wait;
        return this;
    }

    @Override
    void declareOptions(Subparser parser) {
        parser.help(mHelp);
        parser.addArgument("name").help(mNameHelp);
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the change is in force on every reachable instance");
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    @Override
    void readOptions(Namespace options) {
        mName = options.getString("name");
        mWait = options.getBoolean("wait");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    /**
     * Sends the change, prints the resulting version, and waits for it if {@link #setWait} is on.
     */
    @Override
    public int call() {
        OperatorClient.Response response =
                send(
                        "POST",
                        "/operator/v1/"
                                + mCollection
                                + "/"
                                + encodePathSegment(mName)
                                + "/"
                                + mState);
        if (response.isError()) {
            return printErrorResponse(response);
        }
        long version = parse(response.body()).path("version").asLong();
        if (!isJson()) {
            out().println("accepted as version " + version);
        } else if (!mWait) {
            out().println(response.body());
        }
        return mWait ? awaitVersion(version) : EXIT_SUCCESS;
    }

    private int awaitVersion(long version) {
        return new ConfigWaitCommand()
                .setVersion(version)
                .setTimeoutMillis(mTimeoutMillis)
                .setAddress(address())
                .setJson(isJson())
                .setOutput(out(), err())
                .call();
    }
}
