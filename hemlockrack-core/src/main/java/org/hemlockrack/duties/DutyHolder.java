package org.hemlockrack.duties;

import org.hemlockrack.wire.DutyHolderData;

/**
 * The holder of a duty: one incarnation of one controller. A restarted controller is another
 * incarnation and needs a token of its own.
 *
 * @param token fencing token, which increases with each holder
 * @param machine name of the controller
 * @param incarnation identifies the process
 */
public record DutyHolder(long token, String machine, String incarnation) {
    /** Returns whether this is the given process. */
    public boolean isProcess(String otherMachine, String otherIncarnation) {
        return machine.equals(otherMachine) && incarnation.equals(otherIncarnation);
    }

    DutyHolderData toData(Duty duty) {
        return new DutyHolderData(duty.id(), token, machine, incarnation);
    }

    static DutyHolder of(DutyHolderData data) {
        return new DutyHolder(data.getToken(), data.getMachine(), data.getIncarnation());
    }
}
