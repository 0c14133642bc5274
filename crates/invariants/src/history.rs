//! The history that is checked: queries, events at engines and lifetimes of controller processes.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield::interface::Settings;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientOutcome {
    /// The complete result arrived.
    Served,
    /// The query was rejected and did not run, so it may be retried.
    Refused,
    /// The query failed; it may have run.
    Failed,
    /// No answer arrived before the client's deadline.
    NoAnswer,
    /// The client abandoned the query early, on purpose.
    Left,
    /// The connection was lost before the answer.
    Broke,
    /// No connection could be established.
    Unreachable,
}

/// A query as a client sent it to a controller. A retry by the client is a query of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRecord {
    /// Unique identifier; events refer to the query by it.
    pub id: String,
    /// Index of the query's class in the settings.
    pub class: usize,
    /// The ordering key, if the query has one.
    pub key: Option<String>,
    /// Index of the controller that received the query.
    pub controller: usize,
    /// When the client sent the query, in microseconds of the wall clock.
    pub sent_at: i64,
    /// When the client stops waiting for the answer.
    pub deadline: i64,
    /// When the query ended for the client.
    pub ended_at: i64,
    /// How the query ended; none if the end is not known.
    pub outcome: Option<ClientOutcome>,
    /// Number of final answers that the client received.
    pub answer_count: u32,
    /// Type of a protocol message that arrived after the complete answer.
    pub message_after_answer: Option<char>,
    /// What is wrong with the answer, if the client checked it: rows that belong to another query, are out of order or missing.
    pub answer_error: Option<String>,
}

/// An event at an engine, or a change of the engine list sent to a controller. The serialized names are those of the engines'
/// JSON log.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct HistoryEvent {
    /// Time of the event, in microseconds of the wall clock.
    #[serde(rename = "t")]
    pub at: i64,
    /// Kind of event. An attempt was `received`, `finished`, `dropped`, `refused` or `errored` by an engine, or `sent` by a
    /// controller, if that is recorded. An engine was `restarted`, or `fell_over` by overload. A `fault` was injected into an
    /// engine. `told`: a controller received an engine list.
    pub event: String,
    /// Name of the engine.
    #[serde(default)]
    pub engine: String,
    /// Identifier of the query, as in [`QueryRecord::id`].
    #[serde(default)]
    pub query: Option<String>,
    /// Sender of the attempt: `wheelfield/` and the index of the controller.
    #[serde(default, rename = "by")]
    pub sent_by: String,
    /// The fraction of its full capacity that the engine had; below 1 during slow start.
    #[serde(default, rename = "warmth")]
    pub capacity_fraction: f64,
    /// Zone of the engine.
    #[serde(default)]
    pub zone: String,
    /// Machine kind of the engine; for a `fault`, the kind of fault.
    #[serde(default)]
    pub kind: String,
    /// Cell of the engine.
    #[serde(default)]
    pub cell: i64,
    /// Index of the controller that received an engine list.
    #[serde(default, rename = "who")]
    pub controller: String,
    /// Engines that the list shows as unavailable.
    #[serde(default, rename = "not_up")]
    pub unavailable_engines: Vec<UnavailableEngine>,
    /// Magnitude of a fault; zero ends it.
    #[serde(default)]
    pub value: f64,
}

/// An engine that an engine list shows as unavailable.
#[derive(Clone, Debug, Deserialize)]
pub struct UnavailableEngine {
    /// Name of the engine.
    pub engine: String,
    /// `draining` or `removed`.
    pub status: String,
}

/// A line of the engines' log that cannot be parsed.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the engines' log: {error}")]
pub struct LogError {
    /// Line number, from 1.
    pub line: usize,
    /// The parse error.
    pub error: serde_json::Error,
}

/// Parses the log of emulated engines: one [`HistoryEvent`] in JSON per line; blank lines are skipped.
///
/// # Errors
/// [`LogError`] with the first line that cannot be parsed.
pub fn parse_event_log(text: &str) -> Result<Vec<HistoryEvent>, LogError> {
    let parse_line = |(index, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|error| LogError { line: index + 1, error })
    };
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(parse_line).collect()
}

/// Properties of a class that the settings do not contain, or contain by index; names are those that events use.
#[derive(Clone, Debug, Default)]
pub struct ClassInfo {
    /// Name of the class.
    pub name: String,
    /// The zones in which the class may run; empty for all.
    pub zones: Vec<String>,
    /// The kinds of machine on which the class may run; empty for all.
    pub kinds: Vec<String>,
    /// Typical work of a query, in seconds of one thread.
    pub typical_work: f64,
}

/// A span for which the history of one process of a controller is complete.
#[derive(Clone, Debug)]
pub struct ProcessLifetime {
    /// Index of the controller.
    pub controller: usize,
    /// Start of the span, in microseconds of the wall clock.
    pub started_at: i64,
    /// End of the span; none if the process ran until the end of the history.
    pub ended_at: Option<i64>,
    /// Spans in which the process was stalled.
    pub stalls: Vec<(i64, i64)>,
    /// Whether the process was already running before the span, with an unknown history.
    pub begins_mid_run: bool,
}

/// Tolerances for clock differences and transit times between processes, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockTolerance {
    /// An answer is in time up to this long after the client's deadline, as a busy process reads its clock late.
    pub answer_slack: i64,
    /// An attempt that an engine receives up to this long after the answer was sent before the answer.
    pub transit: i64,
    /// Windows of the retry budget are extended by this much in the controller's favour.
    pub window_slack: i64,
    /// The order of two queries of one key is unknown if they were sent at most this far apart.
    pub order_resolution: i64,
}

impl ClockTolerance {
    /// For histories recorded by clients and engines, each with its own clock.
    pub const SEPARATE_CLOCKS: ClockTolerance = ClockTolerance {
        answer_slack: 20_000,
        transit: 500_000,
        window_slack: 100_000,
        order_resolution: 30_000,
    };
    /// For histories recorded by the controller itself, whose steps have a single clock and order.
    pub const SINGLE_CLOCK: ClockTolerance =
        ClockTolerance { answer_slack: 20_000, transit: 0, window_slack: 0, order_resolution: -1 };
}

/// A history to check.
pub struct History<'a> {
    /// The settings of the controllers.
    pub settings: &'a Settings,
    /// How long a controller may still send to an engine after it was told that the engine is draining or removed, in
    /// microseconds.
    pub drain_grace: i64,
    /// The classes, in the order of the settings.
    pub classes: &'a [ClassInfo],
    /// Number of cores of each engine times their speed, by name of the engine.
    pub engine_cores: &'a BTreeMap<String, f64>,
    /// Start of the history, in microseconds of the wall clock.
    pub started_at: i64,
    /// All queries.
    pub queries: &'a [QueryRecord],
    /// All events, in order of time.
    pub events: &'a [HistoryEvent],
    /// Lifetimes of the controller processes.
    pub lifetimes: &'a [ProcessLifetime],
    /// Accuracy of the clocks.
    pub tolerance: ClockTolerance,
}
