package org.hemlockrack.cli;

import net.sourceforge.argparse4j.impl.Arguments;
import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** A command that makes a new configuration version and can wait until it is in force. */
public abstract class VersionedCommand extends Command {
    private boolean mWait;
    private long mTimeoutMillis = 10_000;

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

    final void declareWait(Subparser parser) {
        parser.addArgument("--wait")
                .action(Arguments.storeTrue())
                .help("wait until the change is in force on every reachable instance");
        parser.addArgument("--timeout-ms")
                .type(Long.class)
                .setDefault(mTimeoutMillis)
                .help("longest wait in milliseconds");
    }

    final void takeWait(Namespace options) {
        mWait = options.getBoolean("wait");
        mTimeoutMillis = options.getLong("timeout_ms");
    }

    /** Posts the change, prints the version that it made, and waits if asked to. */
    final int change(String path) {
        OperatorClient.Answer answer = send("POST", path);
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
