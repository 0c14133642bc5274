//! What a driver is told, and what it is bounded by.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{
    AttemptUpdate, EngineEntry, EngineId, LoadReport, Micros, Outcome, PeerLoadReport, QueryId,
};

/// A query as the protocol hands it in; its number is given by the driver.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Its class, by position in the settings.
    pub class: usize,
    /// Its tenant, by position, where there are any.
    pub tenant: Option<usize>,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// When it must have its answer.
    pub deadline: Micros,
    /// Estimated work in seconds of one thread.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB.
    pub memory_hint: Option<f64>,
    /// The group of tables that it reads or writes.
    pub tables: u64,
}

/// Something that happened outside. Captures hold it: kinds are only added at the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The controller starts; comes first, once.
    Started,
    /// The endpoint list: complete, or the changed entries alone.
    Engines {
        /// An engine that is missing is gone.
        complete: bool,
        /// The entries.
        entries: Vec<EngineEntry>,
    },
    /// The endpoint list could not be had.
    ListUnavailable,
    /// The first byte of an attempt is about to be written.
    Dispatched(AttemptId),
    /// The first byte of its answer is about to go to the client.
    AnswerStarted(AttemptId),
    /// An engine sent an update of an attempt.
    AttemptUpdated(AttemptId, AttemptUpdate),
    /// An attempt ended, as the protocol reports.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Work in seconds of one thread, where the answer reports it.
        reported_work: Option<f64>,
        /// The engine's load, where reported.
        report: LoadReport,
    },
    /// The client left, or withdrew its query: no answer is owed.
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
    /// Another controller shares load reports of engines.
    PeerReports(Vec<PeerLoadReport>),
    /// An attempt ended, as reported by a protocol that measures by itself how long it took.
    AttemptMeasured {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Work in seconds of one thread, where the answer reports it.
        reported_work: Option<f64>,
        /// The engine's load, where reported.
        report: LoadReport,
        /// Time since it was sent.
        elapsed: Micros,
    },
    /// So many controllers share the engines from now on, and this one is number `index` of them, from 0.
    GatewayCountChanged {
        /// How many.
        count: u32,
        /// Which one this is.
        index: u32,
    },
    /// The controller shuts down: a query must have its answer now.
    ShutdownDeadline(QueryId),
}

/// The driver holds as many queries as it may.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityExceeded;

/// What the driver itself is bounded by.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverLimits {
    /// Queries held at once; one more is [`CapacityExceeded`].
    pub max_queries: usize,
    /// A cancelled attempt whose engine does not confirm that is settled after this.
    pub cancel_confirmation_timeout: Micros,
}

impl DriverLimits {
    /// As [`DriverLimits::cancel_confirmation_timeout`]: the protocol reports every end by itself, time-outs too, and the
    /// driver settles no attempt because its time is up.
    pub const EXTERNALLY_TIMED: Micros = Micros(i64::MAX / 4);

    /// Whether the driver settles attempts whose time is up.
    pub(crate) fn times_attempts(&self) -> bool {
        self.cancel_confirmation_timeout < DriverLimits::EXTERNALLY_TIMED
    }
}

impl Default for DriverLimits {
    fn default() -> Self {
        DriverLimits {
            max_queries: 20_000,
            cancel_confirmation_timeout: Micros(250_000),
        }
    }
}
