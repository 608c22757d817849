package org.hemlockrack.daemon.gateway;

/**
 * How many repeats the whole fleet may send to one service.
 *
 * @param ratio repeats for each request
 * @param slack repeats in one window without any request
 * @param windowSeconds length of the window
 */
public record RetryLimits(double ratio, double slack, double windowSeconds) {}
