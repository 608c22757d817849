package org.hemlockrack.cli;

import net.sourceforge.argparse4j.inf.Namespace;
import net.sourceforge.argparse4j.inf.Subparser;

/** Takes an availability zone out of service or back in. */
public final class ZoneCommand extends VersionedCommand {
    private final String mState;
    private String mName = "";

    private ZoneCommand(String state) {
        mState = state;
    }

    /**
     * Creates the command.
     *
     * @param state {@code in} or {@code out}
     * @return the command
     */
    public static ZoneCommand of(String state) {
        return new ZoneCommand(state);
    }

    /**
     * Sets what to change.
     *
     * @param name name of the availability zone
     * @return this command
     */
    public ZoneCommand setName(String name) {
        mName = name;
        return this;
    }

    @Override
    void declare(Subparser parser) {
        parser.help("change whether a zone takes work");
        parser.addArgument("name").help("name of the availability zone");
        declareWait(parser);
    }

    @Override
    void take(Namespace options) {
        mName = options.getString("name");
        takeWait(options);
    }

    @Override
    public int call() {
        return change("/operator/v1/zones/" + segment(mName) + "/" + mState);
    }
}
