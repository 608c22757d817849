package org.hemlockrack.placement;

import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ModelVersion;
import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/**
 * A backend server for a request.
 *
 * @param service the service
 * @param backend the backend server
 * @param modelVersion model and version to use
 * @param zone availability zone of the server
 * @param reason why the server holds this position
 */
public record PlacementChoice(
        ServiceId service,
        BackendId backend,
        ModelVersion modelVersion,
        ZoneId zone,
        PlacementReason reason) {}
