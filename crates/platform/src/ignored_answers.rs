//! Answers of the name service that were ignored: counts by reason, since the start of the process and since the last answer that was
//! accepted.

use crate::discovery::IgnoredAnswer;
use std::fmt;

/// Number of answers ignored in a row, without an accepted one between them, from which on they are logged. A single one delays the
/// list by one polling interval only.
const MIN_LOGGED_IN_A_ROW: u64 = 2;

/// Numbers of ignored answers by reason, indexed by [`IgnoredAnswer`].
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct IgnoredCounts([u64; IgnoredAnswer::COUNT]);

impl IgnoredCounts {
    /// Number of answers that were ignored for this reason.
    pub fn get(&self, reason: IgnoredAnswer) -> u64 {
        self.0[reason as usize]
    }

    /// Number of answers that were ignored for any reason.
    pub fn total(&self) -> u64 {
        self.0.iter().sum()
    }

    fn add(&mut self, reason: IgnoredAnswer) {
        self.0[reason as usize] += 1;
    }
}

impl fmt::Display for IgnoredCounts {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        let counted = IgnoredAnswer::ALL.map(|reason| (reason.name(), self.get(reason)));
        let mut separator = "";
        for (name, count) in counted.into_iter().filter(|(_, count)| *count > 0) {
            write!(f, "{separator}{name}={count}")?;
            separator = " ";
        }
        Ok(())
    }
}

/// The ignored answers of the name service.
#[derive(Clone, Copy, Debug, Default)]
pub struct IgnoredAnswers {
    /// Counts since the start of the process.
    pub total: IgnoredCounts,
    /// Counts since the last accepted answer.
    pub since_accepted: IgnoredCounts,
}

impl IgnoredAnswers {
    /// Counts an ignored answer. Returns whether it is to be logged: the first of a series.
    pub fn record(&mut self, reason: IgnoredAnswer) -> bool {
        self.total.add(reason);
        self.since_accepted.add(reason);
        self.since_accepted.total() == MIN_LOGGED_IN_A_ROW
    }

    /// Records that an answer was accepted. Returns the counts of those ignored before it.
    pub fn end_series(&mut self) -> IgnoredCounts {
        std::mem::take(&mut self.since_accepted)
    }
}
