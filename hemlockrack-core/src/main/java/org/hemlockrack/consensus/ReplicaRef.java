package org.hemlockrack.consensus;

import org.hemlockrack.model.InstanceId;

/**
 * Identifies a replica by its instance and the random id of its data folder. A new data folder
 * makes a new replica on the same instance.
 *
 * @param instance the instance, which is also the address of the replica
 * @param replicaId the id in the data folder; {@link #ANY} addresses any replica on the instance
 */
public record ReplicaRef(InstanceId instance, long replicaId) {
    /** Wildcard for a replica whose id the sender does not know. */
    public static final long ANY = 0;

    /**
     * Creates a reference.
     *
     * @param instance the instance
     * @param replicaId the replica id, or {@link #ANY}
     * @return the reference
     */
    public static ReplicaRef of(InstanceId instance, long replicaId) {
        return new ReplicaRef(instance, replicaId);
    }
}
