package org.hemlockrack.consensus;

/**
 * One member of the replicated log.
 *
 * @param replica the replica
 * @param kind what it may do
 */
public record Member(ReplicaRef replica, MemberKind kind) {}
