namespace java org.hemlockrack.wire

// State shared by controllers and gateways: the replicated control state, the registry of backend
// servers, and the exchange by which gateways follow both.

/** One registered backend server as a controller knows it. */
struct ServerData {
  1: string id,
  /** Start of the process in milliseconds since the epoch; 0 if the server does not state it. */
  2: i64 bornMillis,
  3: i64 sequence,
  4: string serviceName,
  5: string address,
  6: string zone,
  7: string softwareVersion,
  8: i32 slots,
  9: bool leaving,
  /** Remaining cold-start time when the reply was built. */
  10: i64 coldMillis,
  /** Time since the newest heartbeat when the reply was built. */
  11: i64 ageMillis
}

/** Requests in progress at one backend server. */
struct LoadData {
  1: string server,
  2: i32 requests
}

/** What one gateway has seen of one software version since the gateway started. */
struct VersionCountsData {
  1: string serviceName,
  2: string softwareVersion,
  3: i64 succeeded,
  4: i64 failed,
  /** Sum of the times to the first byte of successful answers. */
  5: i64 firstByteMicros
}

/** A backend server has read the prompt parts with this hash and most likely keeps them cached. */
struct PrefixUseData {
  1: i64 prefixHash,
  2: string server
}

/** What a controller keeps on disk of the prefix uses. */
struct PrefixListData {
  1: list<PrefixUseData> uses
}

struct DepartureData {
  1: string server,
  2: i64 bornMillis,
  /** Leader time at which the departure was applied. */
  3: i64 atMillis
}

enum MoveStatusData {
  IN_PROGRESS = 1,
  COMPLETED = 2,
  REVERTED = 3
}

/** The move of one service's traffic to a software version. */
struct MoveData {
  1: string serviceName,
  2: string target,
  3: MoveStatusData status,
  /** Share of requests for the target, in parts of 1000. */
  4: i32 sharePerMille,
  /** Leader time at which the order was applied, and its deadline. */
  5: i64 startMillis,
  6: i64 deadlineMillis
}

/** The part of the replicated state that gateways need beside the route table. */
struct ControlFactsData {
  1: set<string> evacuatedZones,
  2: list<MoveData> moves,
  3: list<DepartureData> departures
}

/** Requests that began to run in one window of fleet time, by workspace. */
struct UsageWindowData {
  /** The window begins this many intervals after the start of 1970. */
  1: i64 windowId,
  2: map<string, i64> counts
}

/** The incarnation of a controller that holds a duty. */
struct DutyHolderData {
  1: string duty,
  2: i64 token,
  3: string machine,
  4: string incarnation
}

struct DutyStateData {
  1: list<DutyHolderData> holders,
  2: list<UsageWindowData> windows,
  /** Those of the windows that the platform has accepted. */
  3: set<i64> reportedWindows,
  /** Newest window that was dropped; neither it nor an older one is accepted again. */
  4: i64 droppedWindow
}

/** A change of the state of the duties; the fields that are set apply. */
struct DutyCommandData {
  1: optional DutyHolderData holder,
  /** The holder takes the duty only if the token is still this one, so that a repeat has no effect. */
  2: optional i64 expectedToken,
  3: optional UsageWindowData window,
  4: optional i64 reportedWindow
}

struct ControlSnapshotData {
  1: i64 tableVersion,
  2: binary tableDocument,
  3: ControlFactsData facts,
  4: i64 revision,
  /** Log index of the newest order about each zone and service, by subject. */
  5: optional map<string, i64> orderRevisions,
  /** Absent in snapshots of versions without duties. */
  30: optional DutyStateData duties
}

enum ControlCommandKind {
  PUBLISH_TABLE = 1,
  EVACUATE_ZONE = 2,
  RESTORE_ZONE = 3,
  DEPART = 4,
  START_MOVE = 5,
  ADVANCE_MOVE = 6,
  FINISH_MOVE = 7,
  CHANGE_DUTY = 30
}

struct ControlCommandData {
  1: ControlCommandKind kind,
  2: optional i64 tableVersion,
  3: optional binary tableDocument,
  4: optional string zone,
  5: optional DepartureData departure,
  6: optional MoveData move,
  /** Revision of the state that the order was given for; a newer order about the same subject supersedes it. */
  7: optional i64 basedOnRevision,
  30: optional DutyCommandData duty
}

/** Requests under one shared limit that one gateway has received since it started. */
struct RequestCountData {
  1: string limitName,
  2: i64 requests
}

/** Asks a controller for permits of a limit that all gateways share. */
struct PermitRequest {
  1: string sender,
  /** Name of the limit; for retries, the service. */
  2: string limitName,
  3: i32 wanted,
  /** The limit in one window: permits without any request, and permits for each request. */
  4: double slack,
  5: double ratio,
  6: i64 windowMillis
}

struct PermitReply {
  1: i32 granted,
  /** Time after the request was sent at which the permits end. */
  2: i64 lifetimeMillis
}

/** A connection that a backend server ended before its answer was complete, or refused. */
struct CutData {
  1: string server,
  2: i64 bornMillis,
  /** Identifies the attempt, so that a report that arrives twice counts once; 0 for a refused connection. */
  3: i64 attemptHash,
  /** The prompt parts that other requests may share; empty if the answer had begun. */
  4: list<string> parts,
  /** The last prompt part, which belongs to the request or to its session; absent if the answer had begun. */
  5: optional string ownPart
}

/** What a gateway saw of crashing servers; one of the two is set. */
struct CrashEvidenceData {
  /** Time since the gateway saw it when the request was built. */
  1: i64 ageMillis,
  2: optional CutData cut,
  /** A part on which a server has begun an answer. */
  3: optional string answeredPart
}

/** A decision to hold a prompt part back or to lift that. */
struct VerdictData {
  1: string part,
  /** Of two decisions about a part the one with the higher number counts. */
  2: i64 sequence,
  3: string reason,
  4: i32 crashes,
  /** How often the part has been held back. */
  5: i32 holds,
  6: i64 ageMillis,
  /** Time until the part is no longer held back; negative after that. */
  7: i64 remainingMillis
}

struct QuarantineData {
  1: i64 revision,
  2: list<VerdictData> verdicts,
  /** Parts on which gateways report answers. */
  3: list<string> watchedParts
}

/** What was seen of one incarnation of a backend server since the last message. */
struct CapacityData {
  1: string server,
  /** Start of the server process, which distinguishes incarnations. */
  2: i64 startMillis,
  /** Age of the newest observation when the message was built. */
  3: optional i32 ageMillis,
  /** Mean delay in percent of what is usual for the same work, rounded. */
  4: optional i32 delayPercent,
  /** Number of answers that the mean is of. */
  5: optional i32 samples,
  /** How long work takes at the server as it last reported, 100 is usual. */
  6: optional i32 workPercent
}

/** Requests of one workspace and priority rank, running and waiting; not both are 0. */
struct WorkspaceUsageData {
  1: i32 rank,
  /** Empty for callers without a workspace. */
  2: string workspace,
  3: i32 running,
  4: i32 waiting
}

struct ServiceUsageData {
  1: string serviceName,
  2: list<WorkspaceUsageData> usages
}

struct SyncRequest {
  1: string sender,
  2: bool gateway,
  3: i64 haveRevision,
  4: i64 haveTableVersion,
  /** Identifies the registry that the revision belongs to. */
  5: i64 registryEpoch,
  6: i64 registryRevision,
  7: list<LoadData> inFlight,
  8: list<VersionCountsData> counts,
  /** Prefix uses since the last request to this receiver. */
  9: list<PrefixUseData> prefixUses,
  /** Position in the receiver's list of prefix uses; negative if the caller wants none. */
  10: i64 prefixPosition,
  11: list<RequestCountData> requests,
  /** Evidence since the last request to this receiver. */
  12: list<CrashEvidenceData> crashEvidence,
  /** Revision of the receiver's quarantine that the caller has, in the same epoch. */
  13: i64 quarantineRevision,
  /** The caller's decisions, if the receiver may have lost its own. */
  14: list<VerdictData> verdicts,
  /** The reply lists the tables of the receiver's log that are newer than this one. */
  15: optional i64 listTablesAbove,
  /** Most bytes of documents of those tables in the reply; the rest is listed without. */
  16: i32 maxTableBytes,
  /** Whether the sender is a controller that stops as soon as another one has its seat. */
  17: bool leaving,
  /** Counts of this gateway that have changed since its last report to the holder of the metering duty. */
  30: optional list<UsageWindowData> usage,
  /** Fleet time up to which this gateway has reported every count to the receiver. */
  31: optional i64 usageThroughMillis,
  /** Zone of this gateway; this field and the next are only for the holder of the autoscaling duty. */
  32: optional string zone,
  /** Requests that this gateway has refused since its start because no server had room, by service. */
  33: optional map<string, i64> refused,
  /** What the caller has seen of the servers' speed since its last request to this receiver. */
  50: optional list<CapacityData> capacity,
  /** Position in the receiver's list of observations; absent if the caller wants none. */
  51: optional i64 capacityPosition,
  /** The gateway's requests at services whose requests may wait; absent if there are none. */
  40: optional list<ServiceUsageData> usages,
  /** Whether the reply is to hold the sums of the usages. */
  41: optional bool wantsUsages
}

/** A table in the durable log of a controller. */
struct LoggedTableData {
  1: i64 version,
  /** The deflated route table, absent if the reply would hold too many bytes. */
  2: optional binary document
}

struct SyncReply {
  /**
   * Whether the receiver's replicated state holds what was committed before its start. Until then
   * revision, facts and table come from its durable log and may not be committed.
   */
  1: bool caughtUp,
  2: i64 revision,
  3: optional ControlFactsData facts,
  4: i64 tableVersion,
  /** The deflated route table, absent if the caller has this version. */
  5: optional binary tableDocument,
  6: i64 registryEpoch,
  7: i64 registryRevision,
  8: list<ServerData> servers,
  9: list<LoadData> fleetInFlight,
  10: i32 gateways,
  /** Peer addresses of the replicas of the control state. */
  11: list<string> controllers,
  12: list<PrefixUseData> prefixUses,
  13: i64 prefixPosition,
  /**
   * Number of voters, 0 if the receiver is none of them; a state that is not caught up needs a
   * majority of them.
   */
  14: i32 voters,
  /**
   * Time since a majority confirmed that this state holds every committed change; absent if the
   * receiver knows of no such confirmation.
   */
  15: optional i64 confirmedAgeMillis,
  /** Absent if the caller has this revision. */
  16: optional QuarantineData quarantine,
  /**
   * Version of the newest table in the durable log of the receiver, committed or not; absent if the
   * receiver is no voter.
   */
  17: optional i64 loggedTableVersion,
  /**
   * Tables that may be in force as far as the receiver knows: the committed one and all later ones
   * in its log, those only that are newer than the caller asks for.
   */
  18: optional list<LoggedTableData> loggedTables,
  /**
   * The current term of the receiver, if the whole log is durable and ends with an entry of that
   * term. What a majority holds in the same such term cannot be lost any more.
   */
  19: optional i64 settledTerm,
  /**
   * The revision, if it belongs to the state that the receiver has read from its disk, and its log
   * still holds that in the settled term; absent otherwise.
   */
  20: optional i64 settledRevision,
  /** Time of day at the receiver. */
  30: optional i64 wallMillis,
  /** Length of a window of usage counts; absent if nothing is metered. */
  31: optional i64 usageIntervalMillis,
  /** Token under which the receiver holds the metering duty; absent if it does not. */
  32: optional i64 usageToken,
  /** Whether the receiver holds the autoscaling duty. */
  33: optional bool wantsDemand,
  /** What all gateways together have seen of the servers' speed after the caller's position. */
  50: optional list<CapacityData> capacity,
  51: optional i64 capacityPosition,
  /**
   * Sums of the usages of all gateways, absent if the caller does not want them. A service for which
   * no request waits has one entry for all workspaces together, named "*".
   */
  40: optional list<ServiceUsageData> fleetUsages,
  /** Number of gateways in those sums. */
  41: optional i32 usageGateways
}
