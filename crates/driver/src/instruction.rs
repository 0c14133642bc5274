//! Instructions that a driver issues to the protocol layer.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{EngineId, Micros, PeerLoadReport, QueryId};

/// Memory grant and priority of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptOptions {
    /// Memory grant in MB. With zero, the engine chooses the grant.
    pub grant_mb: f64,
    /// Priority from 0 to 3; the default is 1.
    pub priority: u8,
}

impl Default for AttemptOptions {
    fn default() -> Self {
        AttemptOptions {
            grant_mb: 0.0,
            priority: 1,
        }
    }
}

/// A final answer that the protocol layer must send. A query that is served needs none, since its rows are the answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// The query did not run, or is safe to run twice: the client may retry it.
    Rejected {
        /// How long the client should wait before it retries; zero if no time is suggested.
        retry_after: Micros,
    },
    /// The query failed; it is not necessarily safe to retry.
    Failed {
        /// Whether an attempt of the query may have run.
        may_have_run: bool,
    },
    /// The answer broke off after its first row had been sent to the client.
    Interrupted,
}

/// Something that the protocol layer must do. Captures store it in a positional format, so new variants may only be added at
/// the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Instruction {
    /// Start an attempt. [`crate::Input::Dispatched`] must be passed in when its first byte is written.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// The engine that it runs on.
        engine: EngineId,
        /// Its options.
        options: AttemptOptions,
    },
    /// Change the options of an attempt in flight.
    SetOptions(AttemptId, AttemptOptions),
    /// Cancel an attempt: at the engine if it has been written, otherwise by discarding it.
    Cancel(AttemptId),
    /// Send a query its final answer now.
    Answer(QueryId, Answer),
    /// Probe an engine.
    Probe(EngineId),
    /// Send load reports to all other controllers.
    ShareReports(Vec<PeerLoadReport>),
    /// Subscribe to changes of the engine list.
    Subscribe,
    /// Write a line to the log.
    Log(String),
}
