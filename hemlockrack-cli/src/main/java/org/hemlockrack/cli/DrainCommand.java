package org.hemlockrack.cli;

/** Starts or ends the drain of an instance. A draining instance gives up its servers to others. */
public final class DrainCommand extends SetStateCommand {
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
