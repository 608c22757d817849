package org.hemlockrack.duties;

/**
 * The number of servers that the platform is to run.
 *
 * @param key the service and zone
 * @param servers the number of servers
 */
public record ReplicaOrder(ReplicaKey key, int servers) {}
