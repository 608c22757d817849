package org.hemlockrack.routing;

import org.hemlockrack.model.ServiceId;

/**
 * One target of a route.
 *
 * @param service the service
 * @param weight its share among the weights of the route; 0 gets nothing
 */
public record WeightedService(ServiceId service, double weight) {}
