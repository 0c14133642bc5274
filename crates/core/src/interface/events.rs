//! The events that the policy handles.

use super::{EngineEntry, EngineId, LoadReport, Micros, PeerLoadReport, QueryId};
use serde::{Deserialize, Serialize};

/// A query from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Its identifier.
    pub id: QueryId,
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, if it has one, by position in the settings.
    pub tenant: Option<usize>,
    /// The key by which queries of a class with `ordered_by_key` run in order.
    pub key: Option<String>,
    /// The time at which the client gives up.
    pub deadline: Micros,
    /// Estimated work in thread-seconds, if known.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB, if known.
    pub memory_hint: Option<f64>,
    /// Identifier of the group of tables that it reads or writes.
    pub tables: u64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// The engine answered.
    Served,
    /// The engine returned an error.
    Error,
    /// The engine was full and rejected the query before running it.
    Full,
    /// The answer did not arrive in time.
    TimedOut,
    /// The connection was refused.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// The attempt was cancelled.
    Cancelled,
    /// The attempt was never sent.
    NeverSent,
    /// The connection was neither established nor refused in time.
    ConnectTimedOut,
}

impl Outcome {
    /// Whether the outcome proves that the query never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::ConnectTimedOut)
    }
}

/// An update of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptUpdate {
    /// The fraction of the query that is done.
    Progress(f64),
    /// The query spills to disk because it lacks this much memory, in MB.
    Spills(f64),
    /// The query waits for memory.
    WaitsForMemory,
    /// The query waits for a load of its tables.
    WaitsForLoad,
    /// Any other update.
    Other,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// The query of the attempt.
    pub query: QueryId,
    /// Number of the attempt, counted from 0.
    pub attempt: usize,
    /// How the attempt ended.
    pub outcome: Outcome,
    /// The query is finished, by this end or earlier.
    pub query_over: bool,
    /// Time since the attempt was sent.
    pub elapsed: Micros,
    /// Work in thread-seconds, if the answer reports it.
    pub reported_work: Option<f64>,
    /// The load that the engine reported.
    pub report: LoadReport,
}

/// An event that the policy handles.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The gateway starts.
    Started,
    /// The complete endpoint list was received.
    EngineList(Vec<EngineEntry>),
    /// Changed entries of the endpoint list were received.
    EngineChanges(Vec<EngineEntry>),
    /// The endpoint list could not be fetched.
    ListUnavailable,
    /// A query arrived.
    Arrived(Query),
    /// The gateway began to send the answer of an attempt to the client.
    AnswerStarted(QueryId),
    /// An engine sent an update of an attempt.
    AttemptUpdated {
        /// The query of the attempt.
        query: QueryId,
        /// Number of the attempt, counted from 0.
        attempt: usize,
        /// The update.
        update: AttemptUpdate,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left and expects no answer.
    Abandoned(QueryId),
    /// A probe ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// How the probe ended.
        outcome: Outcome,
        /// The load that the engine reported.
        report: LoadReport,
    },
    /// Another gateway shared load reports. All of their engines have been in the endpoint list.
    PeerReports(Vec<PeerLoadReport>),
    /// The timer with this token fired.
    TimerFired(u64),
    /// The number of gateways that share the engines changed.
    GatewayCountChanged {
        /// The number of gateways, at least 1.
        count: f64,
        /// The index of this gateway, counted from 0.
        index: f64,
    },
    /// The gateway shuts down, and the query must get its final answer now.
    ShutdownDeadline(QueryId),
}
