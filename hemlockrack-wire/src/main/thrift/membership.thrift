namespace java org.hemlockrack.wire

enum GossipKind {
  PING = 1,
  ACK = 2,
  /** Asks the receiver to ping the member named by subject. */
  PING_REQUEST = 3,
  NEWS = 4,
  /** Bucket digests of the sender, sent when the root digests differ. */
  BUCKETS = 5,
  /** Versions that the sender holds in the buckets listed in buckets. */
  ENTRIES = 6,
  /** Short ids of entries that the sender lacks. */
  WANT = 7
}

/** Everything about a member; sent on join, on restart and on request. */
struct MemberFull {
  1: string id,
  2: string zone,
  3: string region,
  4: string peerAddress,
  5: string forwardAddress,
  6: i64 start,
  7: i64 bump,
  /** Bits: 1 ready, 2 draining, 4 left, 8 suspect, 16 dead. */
  8: i32 flags,
  9: i64 configVersion
}

/** News about a member whose full record the receiver normally holds. */
struct MemberBrief {
  1: i64 shortId,
  2: i64 start,
  3: i64 bump,
  4: i32 flags,
  5: i64 configVersion
}

struct BackendNews {
  1: string id,
  2: string serviceName,
  /** Model and version alternate. */
  3: list<string> models,
  4: string zone,
  5: string address,
  6: i64 incarnation,
  7: i64 revision,
  /** Bits: 1 leaving, 2 gone, 4 checks fencing. */
  8: i32 flags,
  9: i32 limit,
  10: string owner
}

struct LoadNews {
  1: i64 shortId,
  2: i64 incarnation,
  3: i64 sequence,
  4: i32 inFlight
}

struct FactNews {
  1: string key,
  2: i64 version,
  3: binary payload,
  4: i32 trafficClass
}

struct EntryVersion {
  1: i64 shortId,
  2: i64 epoch,
  3: i64 counter
}

/** One gossip message. Absent lists are empty. */
struct Gossip {
  1: GossipKind kind,
  2: optional i64 sequence,
  /** Short id of the member that a PING_REQUEST is about. */
  3: optional i64 subject,
  4: optional i64 rootDigest,
  5: optional list<MemberFull> members,
  6: optional list<MemberBrief> briefs,
  7: optional list<BackendNews> backends,
  8: optional list<LoadNews> loads,
  9: optional list<FactNews> facts,
  10: optional list<i32> buckets,
  11: optional list<EntryVersion> entries,
  12: optional list<i64> wants
}
