package org.hemlockrack.consensus;

import org.hemlockrack.model.InstanceId;

/**
 * One replica: an instance and the random id of its data folder. A new folder is another replica.
 *
 * @param instance the instance, which is also the address of the replica
 * @param replicaId the id in the data folder; {@link #ANY} addresses whatever replica runs there
 */
public record ReplicaRef(InstanceId instance, long replicaId) {
    /** Stands for a replica whose id the sender does not know. */
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
