package org.hemlockrack.duties;

import org.hemlockrack.model.ServiceId;
import org.hemlockrack.model.ZoneId;

/**
 * A service in a zone.
 *
 * @param service the service
 * @param zone the zone
 */
public record ReplicaKey(ServiceId service, ZoneId zone) {}
