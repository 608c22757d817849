namespace java org.hemlockrack.wire

// Burn accounts as they are kept over a restart and sent to the instance that makes a report.

// Counts of one kind in consecutive buckets.
struct BurnCountsData {
    1: i32 kind
    2: i64 firstBucket
    3: list<i32> counts
}

struct BurnRingData {
    1: i64 headBucket
    2: list<BurnCountsData> counts
}

struct BurnSeriesData {
    1: i32 promise
    2: list<BurnRingData> rings
}

struct BurnWorkspaceData {
    1: string workspace
    2: list<BurnSeriesData> series
}

struct BurnAccountsData {
    1: list<BurnWorkspaceData> workspaces
    2: i32 omitted
}
