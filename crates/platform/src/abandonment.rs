//! Counts clients that left while their query was in flight, and whether attempts of it were still sent. The counts are based
//! on what was written to sockets, as a check of the driver.

use std::collections::BTreeMap;
use wheelfield::interface::QueryId;

/// An attempt that begins more than this after its client left counts as late, in microseconds.
const LATE_AFTER_US: i64 = 100_000;
/// Maximum number of queries that are remembered; the oldest is forgotten first.
const MAX_TRACKED_QUERIES: usize = 1_024;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AbandonmentCounts {
    /// Clients that left while no executor had an attempt of their query.
    pub waiting: u64,
    /// Attempts whose first byte was sent after the client had left.
    pub forwarded: u64,
    /// Of these, those sent over 0.1 s later.
    pub forwarded_late: u64,
}

/// Where a query was when its client left.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryLocation {
    /// It waited for a first or further attempt.
    Waiting,
    /// An executor had an attempt of it.
    AtExecutor,
}

/// Queries whose client left lately.
#[derive(Debug, Default)]
pub struct Abandonments {
    /// Time at which the client left, by query. As the numbers of queries rise, the first is the oldest.
    abandoned_at: BTreeMap<QueryId, i64>,
    /// Counters since the start of the process.
    pub counts: AbandonmentCounts,
}

impl Abandonments {
    /// Records that the client of a query left.
    pub fn record_abandonment(&mut self, query: QueryId, location: QueryLocation, now: i64) {
        self.counts.waiting += u64::from(location == QueryLocation::Waiting);
        self.abandoned_at.insert(query, now);
        if self.abandoned_at.len() > MAX_TRACKED_QUERIES {
            self.abandoned_at.pop_first();
        }
    }

    /// Records that the first byte of an attempt was sent. Queries are told apart by their number, which is unique, as clients
    /// may use a request id again.
    pub fn record_dispatch(&mut self, query: QueryId, now: i64) {
        if let Some(abandoned_at) = self.abandoned_at.get(&query) {
            self.counts.forwarded += 1;
            self.counts.forwarded_late += u64::from(now - abandoned_at > LATE_AFTER_US);
        }
    }
}

#[cfg(test)]
mod tests;
