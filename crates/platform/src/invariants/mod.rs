//! Run-time checks of four invariants: before an attempt is sent, before a query is repeated, when a client connection is closed,
//! and when an executor in slow start is sent work. The checks use the state of this crate and not that of the policy, so that they
//! detect faults of the policy. Violations are counted, logged with the request or connection concerned, and exported as metrics.

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

/// Maximum number of violations that are logged; all of them are counted.
const MAX_LOG_LINES: u64 = 1_000;

/// A violation of an invariant.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
pub enum Violation {
    /// An attempt that must not be sent.
    #[error(transparent)]
    Sending(#[from] SendingViolation),
    /// A query that must not be repeated.
    #[error(transparent)]
    Repeating(#[from] RepeatingViolation),
    /// A connection that must not be closed.
    #[error(transparent)]
    Closing(#[from] ClosingViolation),
    /// Too many attempts for an executor in slow start.
    #[error(transparent)]
    Starting(#[from] StartingViolation),
}

/// Number of violations since the start of the process, by invariant. Metrics label them with `guard`.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ViolationCounts {
    /// Attempts that must not be sent. Except for requests written after their executor left service, they were blocked.
    pub sending: u64,
    /// Attempts of queries that may have run and must not run again. They were blocked.
    pub repeating: u64,
    /// Connections closed although the client expected a response.
    pub closing: u64,
    /// Attempts in excess of what all controllers together may send to an executor in slow start.
    pub starting: u64,
}

impl ViolationCounts {
    /// Total number of violations.
    pub fn total(&self) -> u64 {
        self.sending + self.repeating + self.closing + self.starting
    }

    /// Counts and logs a violation; `id` identifies the request or connection concerned.
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
