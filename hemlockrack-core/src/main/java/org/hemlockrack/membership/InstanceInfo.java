package org.hemlockrack.membership;

import org.hemlockrack.model.InstanceId;
import org.hemlockrack.model.Names;
import org.hemlockrack.model.ZoneId;

/**
 * Identity, location and addresses of an instance, which do not change while it runs.
 *
 * @param id the instance
 * @param zone its availability zone
 * @param region the region of the zone
 * @param peerAddress host and port for Thrift
 * @param forwardAddress host and port for forwarded HTTP requests
 */
public record InstanceInfo(
        InstanceId id, ZoneId zone, String region, String peerAddress, String forwardAddress) {
    /** Rejects names that are not allowed. */
    public InstanceInfo {
        Names.requireValid("region", region);
        Names.requireValid("peer address", peerAddress);
        Names.requireValid("forward address", forwardAddress);
    }
}
