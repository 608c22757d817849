package org.hemlockrack.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/**
 * A command that sets the state of one named thing in a new configuration version and can wait
 * until that version is in force.
 */
public abstract class VersionedCommand extends Command {
    private final String mPage;
    private final String mState;
    private final String mHelp;
    private final String mNameHelp;
    private String mName = "";
    private boolean mWait;
    private long mTimeoutMillis = 10_000;

    VersionedCommand(String page, String state, String help, String nameHelp) {
        mPage = page;
        mState = state;
        mHelp = help;
        mNameHelp = nameHelp;
    }

    /**
     * Sets what to change.
     *
     * @param name its name
     * @return this command
     */
    public VersionedCommand setName(String name) {
        mName = name;
        return this;
    }

    /**
     * Sets whether the command waits until the version is in force on every reachable instance.
     *
     * @param wait true to wait
     * @return this command
     */
    public VersionedCommand setWait(boolean wait) {
        mWait = wait;
        return this;
    }

    @Override
    void declare(Subparser parser) {
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
    void take(Namespace options) {
        mName = options.getString("name");
        mWait = options.getBoolean("wait");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    /** Posts the change, prints the version that it made, and waits if asked to. */
    @Override
    public int call() {
        OperatorClient.Answer answer =
                send("POST", "/operator/v1/" + mPage + "/" + segment(mName) + "/" + mState);
        if (answer.isError()) {
            return refused(answer);
        }
        long version = parse(answer.body()).path("version").asLong();
        if (!json()) {
            out().println("accepted as version " + version);
        } else if (!mWait) {
            out().println(answer.body());
        }
        return mWait ? await(version) : EXIT_DONE;
    }

    private int await(long version) {
        return new ConfigWaitCommand()
                .setVersion(version)
                .setTimeoutMillis(mTimeoutMillis)
                .setAddress(address())
                .setJson(json())
                .setOutput(out(), err())
                .call();
    }
}
