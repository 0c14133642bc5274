//! Run-time checks of the rules at the four places where one can be broken: an attempt is sent, a query is repeated, a client's
//! connection is closed, an executor in slow start gets work. Each guard looks at context of this crate, not at what the policy
//! believes. Violations are counted, logged with the request they concern, and published.

mod closing;
mod repeating;
mod sending;
mod starting;
#[cfg(test)]
mod tests;

pub use closing::{check_closing, CloseContext, CloseReason, ClosingViolation};
pub use repeating::{check_repeating, RepeatContext, RepeatingViolation};
pub use sending::{check_dispatch, check_sending, ListedState, SendContext, SendingViolation};
pub use starting::{SlowStartGuard, SlowStartSettings, StartingViolation};

use std::fmt;
use tracing::error;

/// Lines on violations that are logged at most; all are counted.
const MAX_LOG_LINES: u64 = 1_000;

/// What a guard has found.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// By the guard of sending.
    #[error(transparent)]
    Sending(#[from] SendingViolation),
    /// By the guard of repeating.
    #[error(transparent)]
    Repeating(#[from] RepeatingViolation),
    /// By the guard of closing.
    #[error(transparent)]
    Closing(#[from] ClosingViolation),
    /// By the guard of starting.
    #[error(transparent)]
    Starting(#[from] StartingViolation),
}

/// Violations since the start of the process, by guard.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Attempts that were not to be sent. They were held back.
    pub sending: u64,
    /// Attempts of queries that may have run and must not run again. They were held back.
    pub repeating: u64,
    /// Connections closed on a client that was owed a response.
    pub closing: u64,
    /// Attempts beyond what all controllers together may send to an executor in slow start.
    pub starting: u64,
}

impl ViolationCounts {
    /// All violations.
    pub fn total(&self) -> u64 {
        self.sending + self.repeating + self.closing + self.starting
    }

    /// Counts and logs a violation that concerns a request or connection.
    pub fn record(&mut self, id: impl fmt::Display, violation: Violation) {
        match violation {
            Violation::Sending(_) => self.sending += 1,
            Violation::Repeating(_) => self.repeating += 1,
            Violation::Closing(_) => self.closing += 1,
            Violation::Starting(_) => self.starting += 1,
        }
        if self.total() <= MAX_LOG_LINES {
            error!(%id, %violation, "invariant violated");
        }
    }
}
