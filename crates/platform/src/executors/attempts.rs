//! Attempts that the dispatcher assigns to executors, and the events that report their progress and outcome.

use crate::executor_protocol::RequestId;
use crate::invariants::ListedState;
use bytes::Bytes;
use wheelfield::interface::{AttemptUpdate, LoadReport, Outcome};
use wheelfield_driver::{AttemptId, AttemptOptions};

/// An attempt whose request has not been written to a connection yet.
#[derive(Clone, Debug)]
pub struct PendingAttempt {
    /// Identifier of the attempt.
    pub id: AttemptId,
    /// Id under which the request is sent to the executor.
    pub request: RequestId,
    /// Options that are sent with the request, such as its priority.
    pub options: AttemptOptions,
    /// Number of connections that the attempt was assigned to and that failed before any byte of its request was written.
    pub(super) connection_losses: u8,
    /// Time since which this machine could not open a connection for the attempt, in microseconds.
    pub(super) connect_blocked_since: Option<i64>,
}

impl PendingAttempt {
    /// Creates an attempt that is not yet assigned to a connection.
    pub fn new(id: AttemptId, request: RequestId, options: AttemptOptions) -> PendingAttempt {
        PendingAttempt {
            id,
            request,
            options,
            connection_losses: 0,
            connect_blocked_since: None,
        }
    }
}

/// A change in the state of an attempt.
#[derive(Clone, Debug, PartialEq)]
pub enum AttemptEvent {
    /// The first byte of the request was written to a connection.
    Dispatched {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Id under which the request is sent to the executor.
        request: RequestId,
        /// State of the receiving executor in the executor list at the time of the write.
        executor: ListedState,
    },
    /// The executor reported the progress of the attempt.
    Updated(AttemptId, AttemptUpdate),
    /// The first page of a result has arrived, and the others have to be fetched by [`super::Executors::fetch_pages`].
    ResultBegun {
        /// Identifier of the attempt.
        attempt: AttemptId,
        /// Number of pages of the result.
        pages: usize,
    },
    /// The attempt has ended.
    Ended(Box<EndedAttempt>),
}

/// The outcome of an attempt and what the executor reported with it.
#[derive(Clone, Debug, PartialEq)]
pub struct EndedAttempt {
    /// Identifier of the attempt.
    pub attempt: AttemptId,
    /// Outcome of the attempt.
    pub outcome: Outcome,
    /// Work that the query took, in seconds of one thread; `None` if the response does not state it.
    pub billed_work: Option<f64>,
    /// Load metrics of the executor that the response contains.
    pub report: LoadReport,
    /// Whether the response that ended the attempt may be that of an earlier attempt under the same request id. The attempt was
    /// cancelled then and may still be running. Its outcome is [`Outcome::Served`] or [`Outcome::Cancelled`].
    pub is_ambiguous: bool,
    /// All pages of the result, in order; empty unless the outcome is [`Outcome::Served`].
    pub pages: Vec<Bytes>,
}

impl EndedAttempt {
    /// Records that the response may be that of an earlier attempt. A result serves the query whichever attempt it belongs to, but
    /// an error or a rejection says nothing about this attempt.
    pub(super) fn mark_ambiguous(&mut self) {
        self.is_ambiguous = true;
        if self.outcome != Outcome::Served {
            self.outcome = Outcome::Cancelled;
        }
    }

    /// Creates an ended attempt for which the executor reported neither work nor load.
    pub(super) fn without_report(attempt: AttemptId, outcome: Outcome) -> EndedAttempt {
        EndedAttempt {
            attempt,
            outcome,
            billed_work: None,
            report: LoadReport::default(),
            is_ambiguous: false,
            pages: Vec::new(),
        }
    }
}
