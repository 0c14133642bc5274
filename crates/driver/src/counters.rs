//! Counters of a driver.

use serde::{Deserialize, Serialize};

/// Counters since the driver was created.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverCounters {
    /// Queries accepted from clients.
    pub accepted: u64,
    /// Queries that were served successfully.
    pub served: u64,
    /// Queries that the policy module rejected.
    pub rejected: u64,
    /// Queries that failed, including those whose answer was interrupted.
    pub failed: u64,
    /// Queries whose client disconnected or cancelled them.
    pub abandoned: u64,
    /// Queries turned down because of [`crate::DriverLimits::max_queries`] or a duplicate id.
    pub over_capacity: u64,
    /// Attempts started.
    pub attempts: u64,
    /// Attempts other than the first of their query.
    pub retries: u64,
    /// Reports of the end of an attempt that were ignored because the attempt had already ended.
    pub late_endings: u64,
}
