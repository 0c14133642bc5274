//! Inputs of a driver, and its limits.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use wheelfield::interface::{
    AttemptUpdate, EngineEntry, EngineId, LoadReport, Micros, Outcome, PeerLoadReport, QueryId,
};

/// A query as the protocol layer submits it. The driver assigns its id.
#[derive(Clone, Debug, Default, PartialEq, Serialize, Deserialize)]
pub struct Arrival {
    /// Index of its class in the settings.
    pub class: usize,
    /// Index of its tenant in the settings, if tenants are configured.
    pub tenant: Option<usize>,
    /// Key for classes with keyed order: queries with the same key run in the order in which they arrive.
    pub key: Option<String>,
    /// Time by which it must be answered.
    pub deadline: Micros,
    /// Estimated work in thread-seconds.
    pub work_hint: Option<f64>,
    /// Estimated memory in MB.
    pub memory_hint: Option<f64>,
    /// The table group that it reads or writes.
    pub tables: u64,
}

/// Something that happened outside the driver. Captures store it in a positional format, so new variants may only be added at
/// the end.
#[derive(Clone, Debug, PartialEq, Serialize, Deserialize)]
pub enum Input {
    /// The controller has started. This is the first input and occurs once.
    Started,
    /// An engine list: complete, or only the entries that changed.
    Engines {
        /// Whether the list is complete, so that an engine missing from it has been removed.
        complete: bool,
        /// Entries of the list.
        entries: Vec<EngineEntry>,
    },
    /// The engine list could not be fetched.
    ListUnavailable,
    /// The first byte of an attempt is about to be written.
    Dispatched(AttemptId),
    /// The first byte of an attempt's answer is about to be sent to the client.
    AnswerStarted(AttemptId),
    /// An engine sent an update on an attempt, such as its progress.
    AttemptUpdated(AttemptId, AttemptUpdate),
    /// The protocol layer reports the end of an attempt.
    AttemptEnded {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Work in thread-seconds, if the answer reports it.
        reported_work: Option<f64>,
        /// The engine's load, if reported.
        report: LoadReport,
    },
    /// The client disconnected or cancelled its query, which needs no answer any more.
    Abandoned(QueryId),
    /// A probe of an engine ended.
    ProbeEnded {
        /// The engine that was probed.
        engine: EngineId,
        /// How the probe ended.
        outcome: Outcome,
        /// The engine's load.
        report: LoadReport,
    },
    /// Load reports of engines received from another controller.
    PeerReports(Vec<PeerLoadReport>),
    /// Like [`Input::AttemptEnded`], from a protocol layer that measures the duration of attempts itself.
    AttemptMeasured {
        /// The attempt.
        attempt: AttemptId,
        /// How it ended.
        outcome: Outcome,
        /// Work in thread-seconds, if the answer reports it.
        reported_work: Option<f64>,
        /// The engine's load, if reported.
        report: LoadReport,
        /// Time since the attempt was sent.
        elapsed: Micros,
    },
    /// The number of controllers that share the engines, or the index of this one, has changed.
    GatewayCountChanged {
        /// Number of controllers.
        count: u32,
        /// Index of this controller, counted from 0.
        index: u32,
    },
    /// The controller is shutting down and the query must be answered now.
    ShutdownDeadline(QueryId),
    /// A result arrived that may be that of an earlier, cancelled attempt of the same query. It serves the query. The attempt that
    /// was in flight is cancelled without waiting for a confirmation, and may still be running.
    ServedByEarlierAttempt {
        /// The attempt in flight.
        attempt: AttemptId,
        /// The engine's load, if reported.
        report: LoadReport,
    },
}

/// The driver has no capacity for another query: [`DriverLimits::max_queries`] is reached, or the query id is in use.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct CapacityExceeded;

/// Limits of the driver itself.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
pub struct DriverLimits {
    /// Maximum number of queries in the driver; further ones get [`CapacityExceeded`].
    pub max_queries: usize,
    /// A cancelled attempt ends after this time if its engine does not confirm the cancellation.
    pub cancel_confirmation_timeout: Micros,
}

impl DriverLimits {
    /// Value of [`DriverLimits::cancel_confirmation_timeout`] for a protocol layer that reports the end of every attempt
    /// itself, including timeouts. The driver then sets no timeouts for attempts.
    pub const EXTERNALLY_TIMED: Micros = Micros(i64::MAX / 4);

    /// Whether the driver ends attempts that exceed their timeout.
    pub(crate) fn enforces_attempt_timeouts(&self) -> bool {
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
