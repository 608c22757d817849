namespace java org.hemlockrack.wire

// Versions of a model: commands and results of the replicated state, its snapshot, and the evidence
// that instances report.

enum RolloutCommandKind {
    START = 1,
    REPORT_FAULT = 2,
    REPORT_EVIDENCE = 3,
    ADVANCE = 4,
    ROLL_BACK = 5,
    STOP = 6,
    COMPLETE = 7,
    ACQUIRE_AUTHORITY = 8
}

enum RolloutStatusData {
    RUNNING = 1,
    COMPLETED = 2,
    ROLLED_BACK = 3,
    STOPPED = 4
}

enum RolloutReasonData {
    NONE = 1,
    ERRORS = 2,
    SLOW = 3,
    UNJUDGED = 4,
    NOT_LOADED = 5,
    OPERATOR = 6
}

enum RolloutOutcomeData {
    ACCEPTED = 1,
    RUNNING_ALREADY = 2,
    NOT_RUNNING = 3,
    STALE_AUTHORITY = 4,
    STALE_STAGE = 5,
    DUPLICATE = 6,
    INVALID = 7,
    MALFORMED = 8,
    REQUEST_ID_REUSED = 9,
    FULL = 10
}

// One bucket of the sketch of the time to first token.
struct RolloutBucketData {
    1: i32 bucket
    2: i64 count
}

struct RolloutStatsData {
    1: i64 requests
    2: i64 errors
    3: list<RolloutBucketData> firstTokens
}

struct RolloutCellData {
    1: string workspace
    2: i32 requestKind
    3: i32 loadLevel
    4: RolloutStatsData newer
    5: RolloutStatsData older
}

// Evidence since the previous report of the instance.
struct RolloutReportData {
    1: i64 rolloutId
    2: i32 stage
    3: string instance
    4: i64 incarnation
    5: i64 sequence
    6: list<RolloutCellData> cells
}

struct RolloutData {
    1: i64 id
    2: i64 revision
    3: string serviceName
    4: string model
    5: string fromVersion
    6: string toVersion
    7: i64 deadlineMillis
    8: double firstShare
    9: bool completeUnjudged
    10: string author
    11: i64 startedMillis
    12: i32 stage
    13: i64 stageSinceMillis
    14: RolloutStatusData status
    15: RolloutReasonData reason
    16: string detail
}

struct RolloutCommandData {
    1: RolloutCommandKind kind
    2: string requestId
    3: string author
    4: string serviceName
    5: string model
    6: string fromVersion
    7: string toVersion
    8: i64 deadlineMillis
    9: double firstShare
    10: bool completeUnjudged
    11: i64 rolloutId
    12: i32 stage
    13: i64 authority
    14: RolloutReasonData reason
    15: string detail
    16: RolloutReportData report
}

struct RolloutResultData {
    1: RolloutOutcomeData outcome
    2: i64 number
    3: string message
}

struct RolloutRememberedData {
    1: string requestId
    2: binary commandHash
    3: RolloutResultData result
}

// What was last received from one instance.
struct RolloutReporterData {
    1: string instance
    2: i64 incarnation
    3: i64 sequence
}

struct RolloutTableCellData {
    1: RolloutCellData stage
    2: RolloutCellData window
}

struct RolloutEvidenceData {
    1: i64 rolloutId
    2: i64 window
    3: i64 judged
    4: list<RolloutTableCellData> cells
    5: list<RolloutReporterData> reporters
    6: RolloutReasonData faultReason
    7: string faultDetail
}

struct RolloutSnapshotData {
    1: i64 timeMillis
    2: i64 authority
    3: list<RolloutData> current
    4: list<RolloutData> history
    5: list<RolloutEvidenceData> evidence
    6: list<RolloutRememberedData> results
}

// The roll-outs in force, as the instances learn them.
struct RolloutListData {
    1: list<RolloutData> rollouts
}
