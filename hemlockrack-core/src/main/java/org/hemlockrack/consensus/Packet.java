package org.hemlockrack.consensus;

/**
 * A message between two replicas.
 *
 * @param from the sender
 * @param to the receiver; a replica drops packets for another replica id
 * @param clusterId the sender's cluster, 0 if it belongs to none
 * @param term the sender's term, or the proposed term of a pre-vote
 * @param body the content
 */
public record Packet(ReplicaRef from, ReplicaRef to, long clusterId, long term, Message body) {}
