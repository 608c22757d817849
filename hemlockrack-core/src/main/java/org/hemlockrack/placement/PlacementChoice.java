package org.hemlockrack.placement;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/**
 * One backend server in the ordered list that {@link Placement#choose} returns.
 *
 * @param service the service
 * @param backend the backend server
 * @param modelVersion model and version to use
 * @param zone availability zone of the server
 * @param reason why the server is at this position
 */
public record PlacementChoice(
        ServiceId service,
        BackendId backend,
        ModelVersion modelVersion,
        ZoneId zone,
        PlacementReason reason) {}
