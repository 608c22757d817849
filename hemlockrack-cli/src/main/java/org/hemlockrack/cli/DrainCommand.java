package org.hemlockrack.cli;

/** Drains an instance or ends its drain. */
public final class DrainCommand extends VersionedCommand {
    private DrainCommand(String state) {
        super(
                "instances",
                state,
                "change whether an instance owns backend servers",
                "id of the instance");
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
}
