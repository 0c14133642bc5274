//! The actions that the policy returns.

use super::{EngineId, Micros, PeerLoadReport, QueryId};
use serde::{Deserialize, Serialize};

/// An action that the policy returns for the caller to carry out.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Action {
    /// Send an attempt of a query.
    Send {
        /// The query.
        query: QueryId,
        /// The engine to send it to.
        engine: EngineId,
        /// Timeout of the attempt; zero for the client's own deadline.
        timeout: Micros,
    },
    /// Set the memory grant and the priority of the query's next attempt.
    SetOptions {
        /// The query.
        query: QueryId,
        /// Memory grant in MB; zero lets the engine decide.
        grant_mb: f64,
        /// Priority from 0 to 3; 3 is the highest.
        priority: u8,
    },
    /// Cancel an attempt.
    Cancel {
        /// The query of the attempt.
        query: QueryId,
        /// Number of the attempt, counted from 0.
        attempt: usize,
    },
    /// Give the final answer that the query is rejected. The client may safely retry it.
    Reject {
        /// The query.
        query: QueryId,
        /// How long the client should wait before it retries; zero for no advice.
        retry_after: Micros,
    },
    /// Give the final answer that the query failed. It may or may not have run.
    Fail {
        /// The query.
        query: QueryId,
    },
    /// Set a timer.
    SetTimer {
        /// Token that the timer's event returns.
        token: u64,
        /// Time from now until the timer fires.
        after: Micros,
    },
    /// Probe an engine.
    Probe(EngineId),
    /// Share load reports with all other gateways.
    ShareReports(Vec<PeerLoadReport>),
    /// Subscribe to changes of the endpoint list.
    Subscribe,
    /// Write a log line for the operators.
    Log(String),
}
