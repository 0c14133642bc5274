//! The result of a run.

use super::{Excuses, Violation};

/// Numbers of requests by outcome.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Totals {
    /// Requests sent.
    pub requests: usize,
    /// Requests answered with rows.
    pub served: usize,
    /// Requests answered as rejected.
    pub rejected: usize,
    /// Requests answered as failed.
    pub failed: usize,
    /// Requests whose clients disconnected.
    pub abandoned: usize,
    /// Requests whose connections the proxy broke.
    pub cut: usize,
    /// Requests that raced the close of their connections in a shutdown.
    pub crossed: usize,
    /// Requests whose connections ended before they were sent completely.
    pub not_sent: usize,
    /// Requests read by executors.
    pub receipts: usize,
    /// Violations that a delay of the test itself can explain.
    pub not_judged: usize,
}

/// The result of a run.
#[derive(Clone, Debug, Default)]
pub struct Verdict {
    /// The violations, in order of time.
    pub violations: Vec<Violation>,
    /// Numbers of requests by outcome.
    pub totals: Totals,
    /// The violations that were passed over.
    pub excuses: Excuses,
    /// The number of faults that were in force.
    pub faults: usize,
}

impl Verdict {
    /// Whether no invariant was violated, and so few violations were passed over that this says something about the controllers.
    pub fn is_clean(&self) -> bool {
        self.violations.is_empty() && self.is_conclusive()
    }

    /// Whether few violations were passed over.
    pub fn is_conclusive(&self) -> bool {
        self.excuses.are_few(self.totals.requests)
    }
}
