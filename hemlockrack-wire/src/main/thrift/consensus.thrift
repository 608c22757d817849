namespace java org.hemlockrack.wire

/** A replica: an instance and the random id of its data folder, 0 if not known. */
struct WireReplica {
  1: required string instance,
  2: required i64 replicaId
}

struct WireMember {
  1: required WireReplica replica,
  2: required i32 standing
}

struct WireMembership {
  1: required i64 clusterId,
  2: required list<WireMember> members
}

struct WireEntry {
  1: required i64 index,
  2: required i64 term,
  3: required i32 kind,
  4: required i64 leaderTimeMillis,
  5: required binary data
}

/** Term, vote and replica id; written to disk only. */
struct WireMeta {
  1: required i64 replicaId,
  2: required i64 term,
  3: required i64 vote,
  /** First index of the newest log segment, whose absence is damage; 0 if there is none. */
  4: required i64 newestSegment,
  /** Version of the form of all files in the folder; absent in version 1. */
  5: optional i32 formVersion
}

struct WireSnapshotMeta {
  1: required i64 index,
  2: required i64 term,
  3: required i64 leaderTimeMillis,
  4: required WireMembership membership,
  5: required i64 sizeBytes,
  6: required i32 crc32c
}

/** Sent by a replica with an empty folder. */
struct WireHello {
  /** Echo of the leader's number, 0 in an announcement. */
  1: required i64 nonce
}

struct WireHelloReply {
  1: required bool empty,
  2: required i64 nonce
}

/** Asks for a vote or a pre-vote. */
struct WireVote {
  1: required i64 lastIndex,
  2: required i64 lastTerm
}

struct WireVoteReply {
  1: required bool granted
}

struct WireAppend {
  1: required i64 prevIndex,
  2: required i64 prevTerm,
  3: required i64 commitIndex,
  4: required i64 round,
  5: required list<WireEntry> entries
}

struct WireAppendReply {
  1: required bool success,
  2: required i64 index,
  3: required i64 conflictTerm,
  4: required i64 conflictIndex,
  5: required i64 round
}

struct WireSnapshotChunk {
  1: required WireSnapshotMeta meta,
  2: required i64 offset,
  3: required i64 round,
  4: required binary data
}

struct WireSnapshotReply {
  1: required i64 snapshotIndex,
  2: required i64 nextOffset,
  3: required i64 round
}

union WireBody {
  1: WireHello hello,
  2: WireHelloReply helloReply,
  3: WireVote preVote,
  4: WireVoteReply preVoteReply,
  5: WireVote vote,
  6: WireVoteReply voteReply,
  7: WireAppend append,
  8: WireAppendReply appendReply,
  9: WireSnapshotChunk snapshotChunk,
  10: WireSnapshotReply snapshotReply
}

/** Payload of an envelope for the slice CONSENSUS. */
struct WirePacket {
  1: required WireReplica sender,
  2: required WireReplica target,
  3: required i64 clusterId,
  4: required i64 term,
  5: required WireBody body
}
