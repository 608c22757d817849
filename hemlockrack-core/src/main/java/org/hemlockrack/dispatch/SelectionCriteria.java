package org.hemlockrack.dispatch;

import java.util.Set;
import org.hemlockrack.model.BackendId;
import org.hemlockrack.model.ServiceId;

/**
 * What one request asks of the pool.
 *
 * @param service the service
 * @param affinityKey hash of the prompt parts that requests share, 0 for none
 * @param draw number from 0 to below 1 that decides the software version, the same for all attempts
 * @param tried servers that must not be chosen again
 */
public record SelectionCriteria(
        ServiceId service, long affinityKey, double draw, Set<BackendId> tried) {}
