//! What is judged, in the same shape whoever tells of it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield::interface::Settings;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum ClientOutcome {
    /// Rows and their end came.
    Served,
    /// Refused: trying again is harmless.
    Refused,
    /// Failed: nothing is promised.
    Failed,
    /// Nothing came in time; the client left.
    NoAnswer,
    /// The client left early, as it meant to.
    Left,
    /// The connection broke before the answer.
    Broke,
    /// No connection was made.
    Unreachable,
}

/// A query as a client handed it to a controller; each further try of a client is one of its own.
#[derive(Clone, Debug, PartialEq)]
pub struct QueryRecord {
    /// Its name, by which the lines of the log speak of it.
    pub id: String,
    /// Its class, by position in the settings.
    pub class: usize,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// The controller it went to.
    pub controller: usize,
    /// When it was handed in, in microseconds of the wall clock.
    pub sent_at: i64,
    /// When its client gives up.
    pub deadline: i64,
    /// When it ended.
    pub ended_at: i64,
    /// How.
    pub outcome: Option<ClientOutcome>,
    /// Final answers.
    pub answer_count: u32,
    /// What came on the connection after the answer was whole, by its type.
    pub message_after_answer: Option<char>,
    /// What is wrong with its answer, where its client looked: rows of another query, out of turn, or missing.
    pub answer_error: Option<String>,
}

/// Something that happened at an engine, or was told to a controller.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct HistoryEvent {
    /// When, in microseconds of the wall clock.
    #[serde(rename = "t")]
    pub at: i64,
    /// What: `received`, `finished`, `dropped`, `refused`, `errored`, `told`, `restarted`, `fell_over`, `fault`; `sent`
    /// for an attempt that a controller started, where that is known.
    pub event: String,
    /// At which engine.
    #[serde(default)]
    pub engine: String,
    /// Which query, by the name its client gave it.
    #[serde(default)]
    pub query: Option<String>,
    /// Sent by whom: `wheelfield/` and the number of the controller.
    #[serde(default, rename = "by")]
    pub sent_by: String,
    /// The share of its work that the engine could do.
    #[serde(default, rename = "warmth")]
    pub capacity_fraction: f64,
    /// Its zone.
    #[serde(default)]
    pub zone: String,
    /// Its kind.
    #[serde(default)]
    pub kind: String,
    /// Its cell.
    #[serde(default)]
    pub cell: i64,
    /// Told by the registry to whom.
    #[serde(default, rename = "who")]
    pub controller: String,
    /// Engines that take no work, as told.
    #[serde(default, rename = "not_up")]
    pub unavailable_engines: Vec<UnavailableEngine>,
    /// The figure of a fault.
    #[serde(default)]
    pub value: f64,
}

/// An engine that takes no work.
#[derive(Clone, Debug, Deserialize)]
pub struct UnavailableEngine {
    /// Its name.
    pub engine: String,
    /// `draining` or `removed`.
    pub status: String,
}

/// A line of a log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the engines' log: {error}")]
pub struct LogError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub error: serde_json::Error,
}

/// Reads the stand-ins' log: a [`HistoryEvent`] of JSON each.
///
/// # Errors
/// With the number of a line that can't be read.
pub fn parse_event_log(text: &str) -> Result<Vec<HistoryEvent>, LogError> {
    let line = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|error| LogError { line: n + 1, error })
    };
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(line).collect()
}

/// What is known of a class beyond the settings, by names as the lines use them.
#[derive(Clone, Debug, Default)]
pub struct ClassInfo {
    /// Its name.
    pub name: String,
    /// The only zones it may run in; empty for any.
    pub zones: Vec<String>,
    /// The only kinds of machine it may run on; empty for any.
    pub kinds: Vec<String>,
    /// Its usual work, in seconds of one thread.
    pub typical_work: f64,
}

/// A span in which one process of a controller ran, and all it did is known.
#[derive(Clone, Debug)]
pub struct ProcessLifetime {
    /// Which controller.
    pub controller: usize,
    /// From, in microseconds of the wall clock,
    pub started_at: i64,
    /// to; none if it ran to the end.
    pub ended_at: Option<i64>,
    /// Spans in which it stood still.
    pub stalls: Vec<(i64, i64)>,
    /// It was running before, and what it did then is not known.
    pub begins_mid_run: bool,
}

/// How far clocks of several processes may be apart, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct ClockTolerance {
    /// An answer counts as in time up to so long after its client's limit, as a busy process reads its clock late.
    pub answer_slack: i64,
    /// An attempt received so shortly after an answer was sent off before it.
    pub transit: i64,
    /// Windows of the budget are judged this much to the controller's favour.
    pub window_slack: i64,
    /// Queries of one key handed in within this of each other have no known order.
    pub order_resolution: i64,
}

impl ClockTolerance {
    /// For evidence of clients and engines, each by its own clock.
    pub const SEPARATE_CLOCKS: ClockTolerance = ClockTolerance {
        answer_slack: 20_000,
        transit: 500_000,
        window_slack: 100_000,
        order_resolution: 30_000,
    };
    /// For evidence of the controller itself: its steps have one clock and one order.
    pub const SINGLE_CLOCK: ClockTolerance =
        ClockTolerance { answer_slack: 20_000, transit: 0, window_slack: 0, order_resolution: -1 };
}

/// What is judged.
pub struct History<'a> {
    /// What the controllers were told of the rules.
    pub settings: &'a Settings,
    /// So long after a controller was told that an engine drains or is gone it may still send there, in microseconds.
    pub drain_grace: i64,
    /// The classes, as in the settings.
    pub classes: &'a [ClassInfo],
    /// Cores of an engine, times their speed.
    pub engine_cores: &'a BTreeMap<String, f64>,
    /// When it began, in microseconds of the wall clock.
    pub started_at: i64,
    /// All queries.
    pub queries: &'a [QueryRecord],
    /// What happened at engines, in order.
    pub events: &'a [HistoryEvent],
    /// The lives of the controllers.
    pub lifetimes: &'a [ProcessLifetime],
    /// How exact the clocks are.
    pub tolerance: ClockTolerance,
}
