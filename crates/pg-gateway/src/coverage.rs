//! What came to pass in a controller, counted: states that were reached and things that went wrong. Exploration reads it to
//! see what its days never do.

macro_rules! seen {
    ($($name:ident = $word:literal,)*) => {
        /// Something that came to pass.
        #[derive(Clone, Copy, Debug, PartialEq, Eq)]
        pub(crate) enum Coverage { $($name,)* }
        const WORDS: &[&str] = &[$($word,)*];
    };
}

seen! {
    ClientAccepted = "client accepted",
    ClientTurnedAway = "client turned away",
    ClientMalformed = "client malformed",
    ClientStartupLate = "client's startup late",
    ClientStalled = "client takes nothing of its answer",
    ClientGoneIdle = "client gone, nothing running",
    ClientGoneRunning = "client gone as its query ran",
    ClientPaused = "client's output full",
    ClientStopped = "client ended by a stop",
    UnitTaken = "unit taken",
    UnitOpen = "unit taken while open",
    UnitMore = "more of an open unit",
    UnitTooLong = "open unit too long",
    UnitCrowded = "unit crowded out",
    CancelUnknown = "cancel with no query of its key",
    CancelTaken = "cancel taken",
    CancelAmidRow = "cancel amid a row",
    Refused = "refused",
    FailedRun = "failed, may have run",
    FailedNotRun = "failed, not run",
    Broken = "failed, answer broke off",
    Served = "served",
    ServedErrored = "served with an error of SQL",
    Crossed = "answer nobody wants any more",
    SessionOpened = "session opened",
    SessionReused = "session used again",
    NoneFree = "no session free",
    ConnectLate = "engine's connect late",
    LostStarting = "session lost before its start",
    LostIdle = "session lost at rest",
    LostUnsent = "session lost, nothing written",
    LostRunning = "session lost as an attempt ran",
    LostAmidRow = "session lost amid a row",
    Unclean = "session closed as unclean",
    IdleClosed = "session closed after a long rest",
    Stalled = "engine stalled in its answer",
    Abandoned = "discarded answer did not end",
    Resent = "attempt after the first",
    NotWritten = "attempt taken back before it was written",
    HalfWritten = "attempt given up before it was written whole",
    Withdrawn = "attempt withdrawn",
    WithdrawnWaiting = "attempt withdrawn before it had a session",
    EngineRefused = "attempt turned away",
    EngineErrored = "attempt ended by an error of the engine",
    CancelSent = "request to cancel sent",
    CancelFailed = "request to cancel could not be handed in",
    CancelLate = "request to cancel not taken",
    CancelsFull = "too many requests to cancel",
    Probed = "probe answered",
    ProbeLost = "probe lost",
    TermsSet = "terms changed by a second session",
    ListTaken = "list of engines taken",
    ListRefused = "list of engines refused",
    ListMissing = "list of engines not to be had",
    FilesTaken = "engine files taken",
    WordsHeard = "words of another controller",
    WordsDropped = "words dropped",
    GatewaysTold = "number of controllers changed",
    StopLate = "stop without all answers",
    StopDone = "stop with all answers",
}

/// Counts of all that is known.
#[derive(Clone, Debug)]
pub(crate) struct Counts([u64; WORDS.len()]);

impl Default for Counts {
    fn default() -> Self {
        Counts([0; WORDS.len()])
    }
}

impl Counts {
    pub fn note(&mut self, what: Coverage) {
        self.0[what as usize] += 1;
    }

    pub fn iter(&self) -> impl Iterator<Item = (&'static str, u64)> + '_ {
        WORDS.iter().copied().zip(self.0.iter().copied())
    }
}
