//! The end: clients that do not know of it yet are served as before for a while.

/// After the word to stop, connections arrive for 0.4 s and calls on them for 0.2 s more; a call that crosses the end of its
/// connection is another 50 ms on its way. In microseconds.
const GRACE_PERIOD_US: i64 = 700_000;
/// Who rests is closed then. A call that crosses the end of its connection comes again on a new one: for so long that is still
/// taken, in microseconds.
const RECONNECT_PERIOD_US: i64 = 100_000;
/// After [`GRACE_PERIOD_US`] the process may run on for the longest deadline, counted as so long where it is longer; then it is killed. In
/// microseconds.
const MAX_DEADLINE_US: i64 = 3_000_000;
/// What is still in hand has its answer so long before, in microseconds: the word to stop was heard some time after it was sent, and
/// answers have a network before them.
const RESPONSE_MARGIN_US: i64 = 100_000;
/// What goes out may take so long in all, in microseconds, where nobody kills the process.
const MAX_FLUSH_TIME_US: i64 = 60_000_000;

/// How far the end has come.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    since: Option<i64>,
    /// The longest deadline of all classes, in microseconds.
    deadline: i64,
}

impl Shutdown {
    /// Not asked to stop; no class has a longer deadline than this, in microseconds.
    pub fn new(deadline: i64) -> Shutdown {
        Shutdown { since: None, deadline }
    }

    /// When all must have their answers; none before the word to stop.
    pub fn last(&self) -> Option<i64> {
        self.since.map(|since| {
            since + GRACE_PERIOD_US + self.deadline.clamp(0, MAX_DEADLINE_US) - RESPONSE_MARGIN_US
        })
    }

    /// The word to stop; when clients have had their time to come, and when those have who crossed the end of their connection
    /// then. None if it had come before.
    pub fn begin(&mut self, now: i64) -> Option<(i64, i64)> {
        let first = self.since.is_none();
        self.since = self.since.or(Some(now));
        first.then_some((now + GRACE_PERIOD_US, now + GRACE_PERIOD_US + RECONNECT_PERIOD_US))
    }

    /// The word has come.
    pub fn begun(&self) -> bool {
        self.since.is_some()
    }

    /// Nobody comes any more.
    pub fn nobody_comes(&self, now: i64) -> bool {
        self.since.is_some_and(|since| now - since >= GRACE_PERIOD_US)
    }

    /// All is over, where so much is `owed`.
    pub fn over(&self, now: i64, owed: bool) -> bool {
        self.nobody_comes(now) && (!owed || self.since.is_some_and(|since| now - since >= MAX_FLUSH_TIME_US))
    }
}
