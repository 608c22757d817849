package org.hemlockrack.admission;

import org.hemlockrack.admission.internal.AdmissionDecider;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/**
 * Admission control for all requests to one backend server.
 *
 * <p>Each arrived request gets exactly one of {@link AdmissionOutput.Dispatch}, {@link
 * AdmissionOutput.Refuse} or, while it is queued, its own {@link AdmissionEvent.Cancelled}. A
 * refused request was never dispatched. Requests are dispatched only while this instance holds the
 * ownership lease, the backend server accepts requests, and its known load is below {@link
 * #bound()}.
 */
public interface Admission extends Decider<AdmissionEvent, AdmissionOutput> {
    /**
     * Creates the decider without the ownership lease; announcements of the backend server grant
     * it.
     *
     * @param settings the settings
     * @param self this instance
     * @param backend the backend server
     * @param ownerEpoch identifies this process; differs between any two processes of this
     *     instance, for example a random number chosen at start
     * @param processStartNanos monotonic time at which this process began to accept announcements,
     *     or later; an earlier process of this instance may hold the lease for one lease duration
     *     after it
     * @return the decider
     */
    static Admission create(
            AdmissionSettings settings,
            InstanceId self,
            BackendId backend,
            long ownerEpoch,
            long processStartNanos) {
        return new AdmissionDecider(settings, self, backend, ownerEpoch, processStartNanos);
    }

    /**
     * Returns whether this instance may dispatch requests to the backend server.
     *
     * @param nowNanos monotonic time
     * @return true while it holds the ownership lease
     */
    boolean isOwner(long nowNanos);

    /** Returns the number of requests dispatched by this instance and not finished. */
    int inFlight();

    /** Returns the number of requests in flight that this instance did not dispatch. */
    int foreignLoad();

    /** Returns the adaptive limit of requests in flight. */
    int limit();

    /**
     * Returns the lower of {@link #limit} and the bound derived from the mean load of the service.
     */
    int bound();

    /** Returns the number of queued requests. */
    int queueLength();
}
