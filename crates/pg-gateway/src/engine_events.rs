//! Events of engine sessions that the dispatcher handles.

use wheelfield::interface::{AttemptUpdate, EngineId, LoadReport, Outcome};
use wheelfield_driver::AttemptId;
use wheelfield_pg::backend;
use wheelfield_sans_io::ConnId;

/// An attempt and the session that is reserved for it.
#[derive(Clone, Copy, Debug)]
pub(crate) struct ReadyAttempt {
    pub attempt: AttemptId,
    pub engine: EngineId,
    pub session: ConnId,
}

/// An event of an engine session.
#[derive(Debug)]
pub(crate) enum EngineEvent {
    /// A session is ready for an attempt.
    SessionReady(ReadyAttempt),
    /// The answer of an attempt has reached its first row, for this client. Call `begin_answer` or
    /// `discard_answer`, and then read on.
    AnswerReady(ConnId, AttemptId, ConnId),
    /// The engine reports on a running attempt.
    AttemptUpdated(AttemptId, AttemptUpdate),
    /// The answer of an attempt is complete. Call `finish_unit` afterwards.
    Served {
        session: ConnId,
        attempt: AttemptId,
        client: Option<ConnId>,
        has_query_error: bool,
        reusable: bool,
    },
    /// An attempt ended without being served. The reason is for the log.
    Ended {
        attempt: AttemptId,
        engine: EngineId,
        outcome: Outcome,
        report: LoadReport,
        reason: Option<String>,
    },
    /// A probe was answered or failed.
    ProbeEnded(EngineId, Outcome, LoadReport),
    /// A client has received part of a row, so it cannot be sent an error.
    RowInterrupted(ConnId),
    /// A session can be read again. Its client, if given, no longer wants the answer.
    SessionReadable(ConnId, Option<ConnId>),
}

/// How far a session was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum ReadProgress {
    /// All input is processed.
    Done,
    /// More input may follow once the event that was read has been handled.
    MorePending,
    /// The client's output buffer is full.
    OutputFull(ConnId),
}

/// Converts an engine's load to the load report of the policy.
pub(crate) fn load_report(load: backend::Load) -> LoadReport {
    LoadReport {
        utilisation: load.util,
        in_flight: load.in_flight,
        queued: load.queue,
        memory_granted: load.memory,
        disk_utilisation: load.disks,
    }
}
