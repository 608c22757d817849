package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Drains an instance or ends its drain. */
public final class DrainCommand extends VersionedCommand {
    private final String mState;
    private String mName = "";

    private DrainCommand(String state) {
        mState = state;
    }

    /**
     * Creates the command.
     *
     * @param state {@code drain} or {@code undrain}
     * @return the command
     */
    public static DrainCommand of(String state) {
        return new DrainCommand(state);
    }

    /**
     * Sets what to change.
     *
     * @param name id of the instance
     * @return this command
     */
    public DrainCommand setName(String name) {
        mName = name;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("change whether an instance owns backend servers");
        parser.addArgument("name").help("id of the instance");
        declareWait(parser);
    }

    @Override
    void take(Namespace options) {
        mName = options.getString("name");
        takeWait(options);
    }

    @Override
    public int call() {
        return change("/operator/v1/instances/" + segment(mName) + "/" + mState);
    }
}
