package org.hemlockrack.admission;

import org.hemlockrack.admission.internal.AdmissionDecider;
import org.hemlockrack.decider.Decider;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;

/**
 * Admits all work for one backend server.
 *
 * <p>Each arrived request gets exactly one of {@link AdmissionOutput.Dispatch}, {@link
 * AdmissionOutput.Refuse} or, while it is queued, its own {@link AdmissionEvent.Cancelled}. A
 * refused request was never dispatched. Requests are dispatched only while this instance holds the
 * right to admit, the backend server takes work, and the load known here is below {@link #bound()}.
 */
public interface Admission extends Decider<AdmissionEvent, AdmissionOutput> {
    /**
     * Creates an instance without the right to admit; the first announcements give it.
     *
     * @param settings the settings
     * @param self this instance
     * @param backend the backend server
     * @param ownerEpoch differs between any two processes of this instance, for instance a random
     *     number drawn at start
     * @param processStartNanos monotonic time at which this process began to accept announcements,
     *     or later; an earlier process of this instance may hold a right for a lease after it
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
     * Returns whether this instance may admit.
     *
     * @param nowNanos monotonic time
     * @return true while it holds the right
     */
    boolean isOwner(long nowNanos);

    /** Returns the requests dispatched here and not finished. */
    int inFlight();

    /** Returns the requests that the backend server works on and that were not dispatched here. */
    int foreignLoad();

    /** Returns the most requests in flight that the ramp allows. */
    int limit();

    /** Returns the lower of the limit and the bound by the mean load. */
    int bound();

    /** Returns the number of queued requests. */
    int queueLength();
}
