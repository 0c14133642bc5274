//! The phases of a graceful shutdown. During a grace period, clients that are not aware of the shutdown yet are served as before.

/// Length of the grace period after the shutdown request, in microseconds: clients may still connect for 0.4 s and send requests
/// for another 0.2 s, and a request in transit while its connection is closed may arrive up to 0.1 s later.
const GRACE_PERIOD_US: i64 = 700_000;
/// Time after idle connections are closed, at the end of the grace period, during which connections are still accepted, in
/// microseconds: a client whose request was in transit while its connection was closed repeats it on a new connection.
pub const RECONNECT_PERIOD_US: i64 = 100_000;
/// Maximum time for which the process may run after the grace period, in microseconds. If the longest deadline of all classes is
/// shorter, that deadline applies instead. The process is killed afterwards.
const MAX_DEADLINE_US: i64 = 3_000_000;
/// Time before the process may be killed by which all queries must be answered, in microseconds. It allows for the delay between
/// sending and receiving the shutdown request, and for the network latency of responses.
const RESPONSE_MARGIN_US: i64 = 100_000;
/// Maximum time after the shutdown request for writing responses, in microseconds, if the process is not killed before.
const MAX_FLUSH_TIME_US: i64 = 60_000_000;

/// The state of the shutdown.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Shutdown {
    /// Time at which the shutdown request was received, in microseconds; `None` if there was none.
    requested_at: Option<i64>,
    /// The earliest time at which the shutdown request can have been sent, in microseconds.
    earliest_signal_at: i64,
    /// The longest deadline of all classes, in microseconds.
    longest_deadline_us: i64,
}

/// Times of the phases of a shutdown, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ShutdownSchedule {
    /// Time at which the connections of idle clients are closed.
    pub close_idle_at: i64,
    /// Time by which all queries in flight must be answered.
    pub respond_by: i64,
}

impl Shutdown {
    /// Creates the state before a shutdown request. `longest_deadline_us` is the longest deadline of all classes, in microseconds.
    pub fn new(longest_deadline_us: i64) -> Shutdown {
        Shutdown {
            requested_at: None,
            earliest_signal_at: 0,
            longest_deadline_us,
        }
    }

    /// Begins the shutdown at `now`; returns `None` if it has begun already. The request may have been sent as early as
    /// `earliest_signal_at`, and the time until the process is killed runs from then.
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

    /// Time by which all queries must be answered; `None` before the shutdown was requested.
    pub fn response_deadline(&self) -> Option<i64> {
        let deadline = self.longest_deadline_us.clamp(0, MAX_DEADLINE_US);
        self.requested_at?;
        Some(self.earliest_signal_at + GRACE_PERIOD_US + deadline - RESPONSE_MARGIN_US)
    }

    /// Whether the shutdown was requested.
    pub fn has_begun(&self) -> bool {
        self.requested_at.is_some()
    }

    /// Whether the grace period is over, after which no client is expected to connect.
    pub fn is_grace_period_over(&self, now: i64) -> bool {
        self.requested_at
            .is_some_and(|requested_at| now - requested_at >= GRACE_PERIOD_US)
    }

    /// Whether the process may stop: the grace period is over, and no request or response is outstanding or the time for writing
    /// responses has passed.
    pub fn is_complete(&self, now: i64, has_outstanding: bool) -> bool {
        let is_flush_overdue = self
            .requested_at
            .is_some_and(|requested_at| now - requested_at >= MAX_FLUSH_TIME_US);
        self.is_grace_period_over(now) && (!has_outstanding || is_flush_overdue)
    }
}
