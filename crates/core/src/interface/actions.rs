//! What the module wants done.

use super::{EngineId, Micros, PeerLoadReport, QueryId};
use serde::{Deserialize, Serialize};

/// What the module wants done.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Start an attempt.
    Send {
        /// Of which query.
        query: QueryId,
        /// Where.
        engine: EngineId,
        /// The attempt times out after this; zero for the client's own deadline.
        timeout: Micros,
    },
    /// Memory and priority of a query's next attempt.
    SetOptions {
        /// Which query.
        query: QueryId,
        /// In MB; zero leaves it to the engine.
        grant_mb: f64,
        /// 0 to 3.
        priority: u8,
    },
    /// Cancel an attempt.
    Cancel {
        /// Of which query.
        query: QueryId,
        /// Which.
        attempt: usize,
    },
    /// Final answer: rejected; the client may retry.
    Reject {
        /// Which query.
        query: QueryId,
        /// When to retry; zero for no advice.
        retry_after: Micros,
    },
    /// Final answer: failed, nothing promised.
    Fail {
        /// Which query.
        query: QueryId,
    },
    /// Set a timer.
    SetTimer {
        /// Its token.
        token: u64,
        /// From now.
        after: Micros,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Share load reports with all other gateways.
    ShareReports(Vec<PeerLoadReport>),
    /// Subscribe to the changes of the endpoint list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
