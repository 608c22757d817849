namespace java org.hemlockrack.wire

enum ConfigCommandKind {
  /** patch holds a JSON merge patch. */
  PATCH_JSON = 1,
  /** patch holds a TOML patch. */
  PATCH_TOML = 2,
  /** targetVersion names the version whose document comes into force again. */
  ROLLBACK = 3
}

struct ConfigCommandData {
  1: ConfigCommandKind kind,
  2: string requestId,
  3: string author,
  4: i64 baseVersion,
  5: optional string patch,
  6: optional i64 targetVersion
}

struct DifferenceData {
  1: list<string> path,
  /** JSON, absent if the key was absent. */
  2: optional string before,
  3: optional string after
}

struct FaultData {
  1: string path,
  2: string found,
  3: string allowed
}

enum ConfigOutcomeData {
  ACCEPTED = 1,
  CONFLICT = 2,
  INVALID = 3,
  MALFORMED = 4,
  NOT_KEPT = 5,
  REQUEST_ID_REUSED = 6
}

struct ConfigResultData {
  1: ConfigOutcomeData outcome,
  /** Version in force after the command. */
  2: i64 version,
  3: string message,
  4: list<FaultData> faults,
  5: i32 totalFaults
}

struct HistoryEntryData {
  1: i64 version,
  2: i64 timeMillis,
  3: string author,
  4: string requestId,
  5: list<DifferenceData> differences
}

struct RememberedResultData {
  1: string requestId,
  2: binary commandHash,
  3: ConfigResultData result
}

struct ConfigSnapshotData {
  1: i64 version,
  /** The document as JSON. */
  2: string document,
  3: list<HistoryEntryData> history,
  4: list<RememberedResultData> results
}

struct AttemptData {
  1: string holder,
  2: i64 incarnation,
  3: i64 sequence
}

struct HeaderData {
  1: string name,
  2: string value
}

enum AnswerOutcomeData {
  /** The whole answer is recorded. */
  COMPLETE = 1,
  /** The command ran; its answer is not recorded because of its size. */
  WITHOUT_BODY = 2,
  /** The command may have run. */
  UNKNOWN = 3
}

struct AnswerData {
  1: AnswerOutcomeData outcome,
  2: i32 status,
  3: list<HeaderData> headers,
  4: binary body
}

enum ClaimCommandKind {
  CLAIM = 1,
  FINISH = 2,
  RELEASE = 3
}

struct ClaimCommandData {
  1: ClaimCommandKind kind,
  2: string workspace,
  3: string key,
  4: AttemptData attempt,
  /** Lowest sequence of the holder whose claim may still be granted. */
  5: i64 lowestPending,
  /** SHA-256 of the request; claims only. */
  6: optional binary bodyHash,
  /** Abandoned attempt whose open claim is taken over; claims only. */
  7: optional AttemptData takeOverFrom,
  /** Finishes only. */
  8: optional AnswerData answer
}

enum ClaimOutcomeData {
  GRANTED = 1,
  FINISHED = 2,
  IN_PROGRESS = 3,
  BODY_MISMATCH = 4,
  FULL = 5,
  STALE_ATTEMPT = 6,
  RECORDED = 7,
  RELEASED = 8,
  NOT_HELD = 9,
  MALFORMED = 10
}

struct ClaimResultData {
  1: ClaimOutcomeData outcome,
  2: optional AnswerData answer,
  /** Attempt that holds the open claim. */
  3: optional AttemptData holder,
  /** With STALE_ATTEMPT: lowest incarnation that the state accepts from the holder. */
  4: optional i64 minimumIncarnation
}

struct ClaimData {
  1: string workspace,
  2: string key,
  3: binary bodyHash,
  4: AttemptData attempt,
  5: i64 stampMillis,
  6: optional AnswerData answer
}

struct HolderData {
  1: string holder,
  2: i64 incarnation,
  3: i64 lowestPending,
  /** Used sequences from lowestPending on. */
  4: list<i64> used
}

struct ClaimSnapshotData {
  1: i64 timeMillis,
  2: i64 incarnationFloor,
  /** In the order of their stamps. */
  3: list<ClaimData> claims,
  /** From the least to the most recently active. */
  4: list<HolderData> holders
}
