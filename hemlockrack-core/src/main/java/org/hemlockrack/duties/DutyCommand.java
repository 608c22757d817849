package org.hemlockrack.duties;

import org.hemlockrack.wire.DutyCommandData;

/** Builds the commands that change a {@link DutyState}. Each command is idempotent. */
public final class DutyCommand {
    private DutyCommand() {}

    /**
     * Takes a duty for a process.
     *
     * @param duty the duty
     * @param machine name of the controller
     * @param incarnation identifies the process
     * @param expectedToken token of the holder before, 0 for none
     * @return the command
     */
    public static DutyCommandData take(
            Duty duty, String machine, String incarnation, long expectedToken) {
        DutyCommandData data = new DutyCommandData();
        data.setHolder(new DutyHolder(0, machine, incarnation).toData(duty));
        data.setExpectedToken(expectedToken);
        return data;
    }

    /** Fixes the counts of a window. */
    public static DutyCommandData commitUsage(UsageWindow window) {
        DutyCommandData data = new DutyCommandData();
        data.setWindow(window.toData());
        return data;
    }

    /** Records that the platform has accepted the report of a window. */
    public static DutyCommandData markReported(long windowId) {
        DutyCommandData data = new DutyCommandData();
        data.setReportedWindow(windowId);
        return data;
    }
}
