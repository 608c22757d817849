package org.hemlockrack.cli;

/** Takes an availability zone out of service or back in. */
public final class ZoneCommand extends SetStateCommand {
    private ZoneCommand(String state) {
        super(
                "zones",
                state,
                "change whether a zone is in service",
                "name of the availability zone");
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
}
