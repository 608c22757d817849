package org.hemlockrack.admission;

import java.util.List;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/**
 * Says that an owner has stopped admitting for a backend server.
 *
 * @param backend the backend server
 * @param from the instance that stopped
 * @param to the next owner
 * @param incarnation incarnation of the backend server
 * @param floorSequence newest announcement on which the sender held the right; it takes no right
 *     again from this or an earlier one. 0 if it did not hold the right
 * @param inFlight ids of the requests that the sender dispatched and that have not finished
 * @param foreignLoad requests at the backend server that the sender did not dispatch
 */
public record HandoverMessage(
        BackendId backend,
        InstanceId from,
        InstanceId to,
        long incarnation,
        long floorSequence,
        List<String> inFlight,
        int foreignLoad) {
    /** Copies the list. */
    public HandoverMessage {
        inFlight = List.copyOf(inFlight);
    }
}
