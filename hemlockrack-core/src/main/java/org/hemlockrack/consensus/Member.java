package org.hemlockrack.consensus;

/**
 * One member of the replicated log.
 *
 * @param replica the replica
 * @param kind whether and how it takes a vote
 */
public record Member(ReplicaRef replica, MemberKind kind) {}
