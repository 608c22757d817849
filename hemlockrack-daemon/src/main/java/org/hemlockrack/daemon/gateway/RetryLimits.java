package org.hemlockrack.daemon.gateway;

/**
 * Limits of the retries that all gateways together may send to one service.
 *
 * @param ratio retries for each request
 * @param slack retries in one window without any request
 * @param windowSeconds length of the window
 */
public record RetryLimits(double ratio, double slack, double windowSeconds) {}
