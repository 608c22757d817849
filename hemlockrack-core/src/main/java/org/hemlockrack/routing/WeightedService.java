package org.hemlockrack.routing;

import org.hemlockrack.model.ServiceId;

/**
 * One target of a route.
 *
 * @param service the service
 * @param weight weight relative to the other targets of the route; 0 receives no requests
 */
public record WeightedService(ServiceId service, double weight) {}
