//! What the module is told.

use super::{EngineEntry, EngineId, LoadReport, Micros, PeerLoadReport, QueryId};
use serde::{Deserialize, Serialize};

/// A query from a client.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub struct Query {
    /// Its id.
    pub id: QueryId,
    /// Its class.
    pub class: usize,
    /// Its tenant, where there are any.
    pub tenant: Option<usize>,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// When the client gives up.
    pub deadline: Micros,
    /// Estimated work in seconds of one thread, where known.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB, where known.
    pub memory_hint: Option<f64>,
    /// The tables it reads or writes.
    pub tables: u64,
}

/// How an attempt or a probe ended.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub enum Outcome {
    /// Served.
    Served,
    /// The engine returned an error.
    Error,
    /// The engine rejected it before it ran, because it was full.
    Full,
    /// No answer in time.
    TimedOut,
    /// No connection.
    ConnectFailed,
    /// The connection broke.
    Reset,
    /// Cancelled.
    Cancelled,
    /// Never sent.
    NeverSent,
    /// No connection was established in time. Nobody refused it either.
    ConnectTimedOut,
}

impl Outcome {
    /// The outcome proves that the query never ran.
    pub fn never_ran(self) -> bool {
        matches!(self, Outcome::Full | Outcome::ConnectFailed | Outcome::NeverSent | Outcome::ConnectTimedOut)
    }
}

/// An update of an attempt in flight.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub enum AttemptUpdate {
    /// Fraction done.
    Progress(f64),
    /// It spills: it lacks so many MB.
    Spills(f64),
    /// It waits for memory.
    WaitsForMemory,
    /// It waits for a load of its tables.
    WaitsForLoad,
    /// Some other update.
    Other,
}

/// The end of an attempt.
#[derive(Clone, Copy, Debug, PartialEq, Serialize, Deserialize)]
pub struct AttemptEnd {
    /// Of which query.
    pub query: QueryId,
    /// Which attempt, counted from 0.
    pub attempt: usize,
    /// How.
    pub outcome: Outcome,
    /// The query is over, by this end or earlier.
    pub query_over: bool,
    /// Time since it was sent.
    pub elapsed: Micros,
    /// Work in seconds of one thread, where the answer reports it.
    pub reported_work: Option<f64>,
    /// The engine's load.
    pub report: LoadReport,
}

/// What the module is told.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Event {
    /// The gateway starts.
    Started,
    /// The complete endpoint list.
    EngineList(Vec<EngineEntry>),
    /// Changed entries of the endpoint list.
    EngineChanges(Vec<EngineEntry>),
    /// The endpoint list could not be had.
    ListUnavailable,
    /// A query comes in.
    Arrived(Query),
    /// The answer of an attempt has started to go to the client.
    AnswerStarted(QueryId),
    /// An engine sent an update of an attempt.
    AttemptUpdated {
        /// Of which query.
        query: QueryId,
        /// Which attempt, counted from 0.
        attempt: usize,
        /// The update.
        update: AttemptUpdate,
    },
    /// An attempt ended.
    AttemptEnded(AttemptEnd),
    /// The client left; no answer is owed.
    Abandoned(QueryId),
    /// A probe came back.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// How the probe ended.
        outcome: Outcome,
        /// The engine's load.
        report: LoadReport,
    },
    /// Another gateway shares load reports, of engines that the endpoint list has named.
    PeerReports(Vec<PeerLoadReport>),
    /// A timer is due.
    TimerFired(u64),
    /// So many gateways share the engines from now on, and this one is number `index` of them, from 0.
    GatewayCountChanged {
        /// How many, at least 1.
        count: f64,
        /// Which one.
        index: f64,
    },
    /// The gateway shuts down: the query must have its answer now.
    ShutdownDeadline(QueryId),
}
