package org.hemlockrack.admission;

import java.util.List;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/**
 * Message of an owner that has released its lease of a backend server, to the next owner.
 *
 * @param backend the backend server
 * @param from the instance that released the lease
 * @param to the next owner
 * @param incarnation incarnation of the backend server
 * @param floorSequence sequence number of the newest announcement that the sender had received when
 *     it released the lease; it accepts no lease from this or an earlier announcement again. 0 if
 *     it held no lease
 * @param inFlight ids of the requests that the sender dispatched and that have not finished
 * @param foreignLoad number of requests at the backend server that the sender did not dispatch
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
