package org.hemlockrack.rollout;

import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;

/**
 * Status of a backend server as last seen by the roll-out controller.
 *
 * @param backend the server
 * @param service its service
 * @param owner the instance that sends orders to it
 * @param versions the model versions that it has loaded
 * @param ready whether it accepts new work
 */
public record BackendStatus(
        BackendId backend,
        ServiceId service,
        InstanceId owner,
        Set<ModelVersion> versions,
        boolean ready) {
    /** Copies the set. */
    public BackendStatus {
        versions = Set.copyOf(versions);
    }
}
