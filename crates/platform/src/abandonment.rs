//! Counts clients that disconnected while their query was in flight, and attempts that were still sent for such queries. The counts
//! are based on the bytes written to sockets, so that they verify the driver independently.

use std::collections::BTreeMap;
use wheelfield::interface::QueryId;

/// An attempt sent more than this time after its client disconnected counts as late, in microseconds.
const LATE_AFTER_US: i64 = 100_000;
/// Maximum number of abandoned queries that are tracked; the oldest is dropped first.
const MAX_TRACKED_QUERIES: usize = 1_024;

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct AbandonmentCounts {
    /// Clients that disconnected while no attempt of their query was at an executor.
    pub waiting: u64,
    /// Attempts whose first byte was sent after the client had disconnected.
    pub forwarded: u64,
    /// Those of the forwarded attempts that were sent more than 0.1 s after the disconnect.
    pub forwarded_late: u64,
}

/// Where a query was when its client disconnected.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum QueryLocation {
    /// The query waited for its first or next attempt.
    Waiting,
    /// An attempt of the query was at an executor.
    AtExecutor,
}

/// Queries whose client disconnected recently.
#[derive(Debug, Default)]
pub struct Abandonments {
    /// Time at which the client disconnected, by query. Query ids increase, so the first entry is the oldest.
    abandoned_at: BTreeMap<QueryId, i64>,
    /// Counters since the start of the process.
    pub counts: AbandonmentCounts,
}

impl Abandonments {
    /// Records that the client of a query disconnected.
    pub fn record_abandonment(&mut self, query: QueryId, location: QueryLocation, now: i64) {
        self.counts.waiting += u64::from(location == QueryLocation::Waiting);
        self.abandoned_at.insert(query, now);
        if self.abandoned_at.len() > MAX_TRACKED_QUERIES {
            self.abandoned_at.pop_first();
        }
    }

    /// Records that the first byte of an attempt was sent. Attempts are matched by query id, since clients may reuse request ids.
    pub fn record_dispatch(&mut self, query: QueryId, now: i64) {
        if let Some(abandoned_at) = self.abandoned_at.get(&query) {
            self.counts.forwarded += 1;
            self.counts.forwarded_late += u64::from(now - abandoned_at > LATE_AFTER_US);
        }
    }
}

#[cfg(test)]
mod tests;
