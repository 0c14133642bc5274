//! The phases of a graceful shutdown. Clients that do not know of it yet are served as before during a grace period.

/// Time after the request to shut down during which clients may connect (0.4 s) and send requests (0.2 s more), and a request
/// that crosses the close of its connection may arrive (0.1 s more), in microseconds.
const GRACE_PERIOD_US: i64 = 700_000;
/// Time after the close of idle connections, at the end of the grace period, during which connections are accepted, in microseconds:
/// a request that crosses the close of its connection is repeated on a new one.
pub const RECONNECT_PERIOD_US: i64 = 100_000;
/// Maximum time that the process may run on after the grace period, in microseconds. Where the longest deadline of all classes
/// is shorter, that is the maximum. After it the process is killed.
const MAX_DEADLINE_US: i64 = 3_000_000;
/// Time before the process may be killed at which all queries are answered, in microseconds: the request to shut down was
/// received some time after it was sent, and responses have to cross a network.
const RESPONSE_MARGIN_US: i64 = 100_000;
/// Maximum time that writing responses may take after the request to shut down, in microseconds, where nothing kills the process.
const MAX_FLUSH_TIME_US: i64 = 60_000_000;

/// The state of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Time of the request to shut down, in microseconds.
    requested_at: Option<i64>,
    /// The earliest time at which that was sent, in microseconds.
    earliest_signal_at: i64,
    /// The longest deadline of all classes, in microseconds.
    longest_deadline_us: i64,
}

/// Times of the phases of a shutdown, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// When idle clients are closed.
    pub close_idle_at: i64,
    /// When all queries in flight are answered.
    pub respond_by: i64,
}

impl Shutdown {
    /// A shutdown that has not been requested. No class has a longer deadline than this, in microseconds.
    pub fn new(longest_deadline_us: i64) -> Shutdown {
        Shutdown {
            requested_at: None,
            earliest_signal_at: 0,
            longest_deadline_us,
        }
    }

    /// Requests the shutdown, now; the request may have been sent as early as `earliest_signal_at`, from which on the time counts until the
    /// process is killed. `None` if it was requested before.
    pub fn begin(&mut self, now: i64, earliest_signal_at: i64) -> Option<ShutdownSchedule> {
        if self.has_begun() {
            return None;
        }
        self.requested_at = Some(now);
        self.earliest_signal_at = earliest_signal_at;
        Some(ShutdownSchedule {
            close_idle_at: now + GRACE_PERIOD_US,
            respond_by: self.response_deadline()?,
        })
    }

    /// When all queries must be answered; `None` before the shutdown was requested.
    pub fn response_deadline(&self) -> Option<i64> {
        let deadline = self.longest_deadline_us.clamp(0, MAX_DEADLINE_US);
        self.requested_at?;
        Some(self.earliest_signal_at + GRACE_PERIOD_US + deadline - RESPONSE_MARGIN_US)
    }

    /// Whether the shutdown was requested.
    pub fn has_begun(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether no client is expected to connect any more.
    pub fn is_grace_period_over(&self, now: i64) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now - requested_at >= GRACE_PERIOD_US)
    }

    /// Whether the process may end, where responses may be outstanding.
    pub fn is_complete(&self, now: i64, has_outstanding: bool) -> bool {
        let is_flush_overdue = self
            .requested_at
            .is_some_and(|requested_at| now - requested_at >= MAX_FLUSH_TIME_US);
        self.is_grace_period_over(now) && (!has_outstanding || is_flush_overdue)
    }
}
