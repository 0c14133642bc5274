//! What a driver wants done.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{EngineId, Micros, PeerLoadReport, QueryId};

/// Memory and priority of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptOptions {
    /// Memory grant in MB; zero leaves it to the engine.
    pub grant_mb: f64,
    /// 0 to 3; 1 is usual.
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

/// A final answer that the protocol must give. A served query needs none: its rows are the answer.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum Answer {
    /// Nothing of it ran, or running twice does no harm: the client may retry.
    Rejected {
        /// When to come back; zero for no advice.
        retry_after: Micros,
    },
    /// Nothing is promised.
    Failed {
        /// An attempt of it may have run.
        may_have_run: bool,
    },
    /// The answer broke off after its first row had gone to the client.
    Interrupted,
}

/// Something to be done outside. Captures hold it: kinds are only added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Instruction {
    /// Start an attempt. Hand in [`crate::Input::Dispatched`] as its first byte is written.
    Start {
        /// The attempt.
        attempt: AttemptId,
        /// Where it runs.
        engine: EngineId,
        /// Its options.
        options: AttemptOptions,
    },
    /// Change the options of an attempt in flight.
    SetOptions(AttemptId, AttemptOptions),
    /// Cancel an attempt: end it at the engine if it was written, forget it if not.
    Cancel(AttemptId),
    /// Give a query its final answer, at once.
    Answer(QueryId, Answer),
    /// Probe an engine.
    Probe(EngineId),
    /// Share load reports with all other controllers.
    ShareReports(Vec<PeerLoadReport>),
    /// Ask for the changes of the endpoint list.
    Subscribe,
    /// A line for the operators.
    Log(String),
}
