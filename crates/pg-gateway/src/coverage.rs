//! Coverage counters: how often the gateway reached certain states and error paths. The exploration in the
//! test bed reads them to find paths that its scenarios never exercise.

macro_rules! coverage_points {
    ($($point:ident = $name:literal,)*) => {
        /// A state or code path that is counted.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Coverage { $($point,)* }
        const NAMES: &[&str] = &[$($name,)*];
    };
}

coverage_points! {
    ClientAccepted = "client accepted",
    ClientRejected = "client rejected",
    ClientProtocolError = "client sent malformed data",
    ClientStartupTimeout = "client startup timed out",
    ClientReadTimeout = "client stopped reading its answer",
    ClientDisconnectedIdle = "idle client disconnected",
    ClientDisconnectedRunning = "client disconnected while its query ran",
    ClientOutputFull = "client's output full",
    ClientClosedByShutdown = "client closed by shutdown",
    UnitAccepted = "unit accepted",
    OpenUnitAccepted = "open unit accepted",
    OpenUnitContinued = "open unit continued",
    OpenUnitTooLong = "open unit too long",
    UnitOverCapacity = "unit crowded out",
    CancelWithoutQuery = "cancel request without a matching query",
    CancelAccepted = "cancel request accepted",
    CancelDuringRow = "cancel request in the middle of a row",
    QueryRejected = "query rejected",
    QueryFailedMayHaveRun = "query failed, may have run",
    QueryFailedNotRun = "query failed, not run",
    AnswerInterrupted = "failed, answer broke off",
    QueryServed = "query served",
    QueryServedWithError = "query served with an SQL error",
    UnwantedAnswer = "answer no longer wanted",
    SessionOpened = "session opened",
    SessionReused = "session reused",
    SessionLimitReached = "session limit reached",
    EngineConnectTimeout = "engine connect timed out",
    SessionLostStarting = "session lost during startup",
    SessionLostIdle = "idle session lost",
    SessionLostUnsent = "session lost before anything was written",
    SessionLostRunning = "session lost as an attempt ran",
    SessionLostDuringRow = "session lost in the middle of a row",
    UncleanSessionClosed = "unclean session closed",
    IdleSessionClosed = "idle session closed",
    AnswerStalled = "engine stalled in its answer",
    DiscardTimeout = "discarded answer timed out",
    AttemptRetried = "attempt after the first",
    AttemptNotWritten = "attempt withdrawn before it was written",
    AttemptPartlyWritten = "attempt discarded when partly written",
    AttemptCancelled = "attempt cancelled",
    WaitingAttemptCancelled = "attempt cancelled before it had a session",
    AttemptRejectedByEngine = "attempt rejected by the engine",
    AttemptFailedByEngine = "attempt failed by an engine error",
    CancelRequestSent = "cancel request sent",
    CancelRequestFailed = "request to cancel could not be handed in",
    CancelRequestTimeout = "request to cancel not taken",
    CancelRequestLimitReached = "too many cancel requests",
    ProbeAnswered = "probe answered",
    ProbeLost = "probe lost",
    PriorityChanged = "priority changed through a second session",
    EngineListApplied = "engine list applied",
    EngineListRejected = "engine list rejected",
    EngineListUnavailable = "engine list unavailable",
    EndpointFilesRead = "endpoint files read",
    LoadReportsReceived = "words of another controller",
    LoadReportsDropped = "load reports dropped",
    GatewayCountChanged = "number of controllers changed",
    DrainTimeout = "shutdown drain timed out",
    DrainCompleted = "shutdown drain completed",
}

/// A counter for each coverage point.
#[derive(Clone, Debug)]
pub(crate) struct CoverageCounts([u64; NAMES.len()]);

impl Default for CoverageCounts {
    fn default() -> Self {
        CoverageCounts([0; NAMES.len()])
    }
}

impl CoverageCounts {
    pub fn increment(&mut self, point: Coverage) {
        self.0[point as usize] += 1;
    }

    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        NAMES.iter().copied().zip(self.0.iter().copied())
    }
}
