package org.hemlockrack.admission;

import org.hemlockrack.model.InstanceId;
import org.jspecify.annotations.Nullable;

/**
 * The last contact of a backend server with an instance other than the one it announces to.
 *
 * @param owner the instance, or null if this process of the backend server announced to no other
 * @param ageNanos time since the last announcement to that instance was prepared, whether or not it
 *     arrived; without an owner, the time since the process of the backend server started
 * @param sequence sequence number of that announcement; 0 if there is none
 */
public record PreviousOwner(@Nullable InstanceId owner, long ageNanos, long sequence) {
    /**
     * Creates the value for a backend server that announced to no other instance.
     *
     * @param processAgeNanos time since its process started
     * @return the value
     */
    public static PreviousOwner none(long processAgeNanos) {
        return new PreviousOwner(null, processAgeNanos, 0);
    }
}
