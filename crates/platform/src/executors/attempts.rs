//! Attempts as this side receives them, and the events that report what has become of them.

use crate::executor_protocol::RequestId;
use crate::invariants::ListedState;
use bytes::Bytes;
use wheelfield::interface::{AttemptUpdate, LoadReport, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions};

/// An attempt whose request has not been written to a connection yet.
#[derive(Clone, Debug)]
pub struct PendingAttempt {
    /// Number of the attempt.
    pub id: AttemptId,
    /// Id under which the request is sent.
    pub request: RequestId,
    /// Options of the attempt.
    pub options: AttemptOptions,
    /// Connections that it was assigned to and that broke before any of its request was written.
    pub(super) connection_losses: u8,
    /// Since when no connect for it was possible on this machine, in microseconds.
    pub(super) no_connect_since: Option<i64>,
}

impl PendingAttempt {
    /// Creates an attempt that is assigned to no connection yet.
    pub fn new(id: AttemptId, request: RequestId, options: AttemptOptions) -> PendingAttempt {
        PendingAttempt {
            id,
            request,
            options,
            connection_losses: 0,
            no_connect_since: None,
        }
    }
}

/// A change in the state of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of its request has been written.
    Dispatched {
        /// Number of the attempt.
        attempt: AttemptId,
        /// Id under which the request is sent.
        request: RequestId,
        /// The state, in the list of that time, of the executor that it is sent to.
        executor: ListedState,
    },
    /// The executor reported progress.
    Updated(AttemptId, AttemptUpdate),
    /// The attempt has ended.
    Ended(Box<EndedAttempt>),
}

/// How an attempt ended.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Number of the attempt.
    pub attempt: AttemptId,
    /// Its outcome.
    pub outcome: Outcome,
    /// Work in seconds of one thread, where the response states it.
    pub billed_work: Option<f64>,
    /// Load of the executor, as far as the response states it.
    pub report: LoadReport,
    /// All pages of the result, in order, if the attempt was served; otherwise empty.
    pub pages: Vec<Bytes>,
}

impl EndedAttempt {
    /// An end on which the executor reported nothing.
    pub(super) fn without_report(attempt: AttemptId, outcome: Outcome) -> EndedAttempt {
        EndedAttempt {
            attempt,
            outcome,
            billed_work: None,
            report: LoadReport::default(),
            pages: Vec::new(),
        }
    }
}
