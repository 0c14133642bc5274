//! What a driver counts.

use serde::{Deserialize, Serialize};

/// Counted since the start.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverCounters {
    /// Queries accepted from clients.
    pub accepted: u64,
    /// Queries served.
    pub served: u64,
    /// Queries rejected.
    pub rejected: u64,
    /// Queries that failed, interrupted answers among them.
    pub failed: u64,
    /// Queries whose clients left or withdrew them.
    pub abandoned: u64,
    /// Queries not taken, as the driver held as many as it may.
    pub over_capacity: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Of these, beyond a query's first.
    pub retries: u64,
    /// Endings dropped, as their attempt was settled.
    pub late_endings: u64,
}
