//! What is judged, in the same shape whoever tells of it.

use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield::interface::Settings;

/// How a query ended for its client.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum End {
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
pub struct Asked {
    /// Its name, by which the lines of the log speak of it.
    pub id: String,
    /// Its class, by position in the settings.
    pub class: usize,
    /// The key whose order it keeps.
    pub key: Option<String>,
    /// The controller it went to.
    pub controller: usize,
    /// When it was handed in, in microseconds of the wall clock.
    pub sent: i64,
    /// When its client gives up.
    pub due: i64,
    /// When it ended.
    pub ended: i64,
    /// How.
    pub end: Option<End>,
    /// Final answers.
    pub answers: u32,
    /// What came on the connection after the answer was whole, by its type.
    pub after: Option<char>,
    /// What is wrong with its answer, where its client looked: rows of another query, out of turn, or missing.
    pub wrong: Option<String>,
}

/// Something that happened at an engine, or was told to a controller.
#[derive(Clone, Debug, Default, Deserialize)]
pub struct Line {
    /// When, in microseconds of the wall clock.
    pub t: i64,
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
    #[serde(default)]
    pub by: String,
    /// The share of its work that the engine could do.
    #[serde(default)]
    pub warmth: f64,
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
    #[serde(default)]
    pub who: String,
    /// Engines that take no work, as told.
    #[serde(default)]
    pub not_up: Vec<NotUp>,
    /// The figure of a fault.
    #[serde(default)]
    pub value: f64,
}

/// An engine that takes no work.
#[derive(Clone, Debug, Deserialize)]
pub struct NotUp {
    /// Its name.
    pub engine: String,
    /// `draining` or `removed`.
    pub status: String,
}

/// A line of a log that can't be read.
#[derive(Debug, thiserror::Error)]
#[error("line {line} of the engines' log: {fault}")]
pub struct LogError {
    /// Its number, from 1.
    pub line: usize,
    /// What is wrong with it.
    pub fault: serde_json::Error,
}

/// Reads the stand-ins' log: a [`Line`] of JSON each.
///
/// # Errors
/// With the number of a line that can't be read.
pub fn read_log(text: &str) -> Result<Vec<Line>, LogError> {
    let line = |(n, line): (usize, &str)| {
        serde_json::from_str(line).map_err(|fault| LogError { line: n + 1, fault })
    };
    text.lines().enumerate().filter(|(_, l)| !l.trim().is_empty()).map(line).collect()
}

/// What is known of a class beyond the settings, by names as the lines use them.
#[derive(Clone, Debug, Default)]
pub struct OfClass {
    /// Its name.
    pub name: String,
    /// The only zones it may run in; empty for any.
    pub zones: Vec<String>,
    /// The only kinds of machine it may run on; empty for any.
    pub kinds: Vec<String>,
    /// Its usual work, in seconds of one thread.
    pub usual_work: f64,
}

/// A span in which one process of a controller ran, and all it did is known.
#[derive(Clone, Debug)]
pub struct Life {
    /// Which controller.
    pub controller: usize,
    /// From, in microseconds of the wall clock,
    pub from: i64,
    /// to; none if it ran to the end.
    pub killed: Option<i64>,
    /// Spans in which it stood still.
    pub stalls: Vec<(i64, i64)>,
    /// It was running before, and what it did then is not known.
    pub entered: bool,
}

/// How far clocks of several processes may be apart, in microseconds.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Tolerance {
    /// An answer counts as in time up to so long after its client's limit, as a busy process reads its clock late.
    pub slack: i64,
    /// An attempt received so shortly after an answer was sent off before it.
    pub crossing: i64,
    /// Windows of the budget are judged this much to the controller's favour.
    pub edge: i64,
    /// Queries of one key handed in within this of each other have no known order.
    pub unordered: i64,
}

impl Tolerance {
    /// For evidence of clients and engines, each by its own clock.
    pub const SOCKETS: Tolerance =
        Tolerance { slack: 20_000, crossing: 500_000, edge: 100_000, unordered: 30_000 };
    /// For evidence of the controller itself: its steps have one clock and one order.
    pub const STEPS: Tolerance = Tolerance { slack: 20_000, crossing: 0, edge: 0, unordered: -1 };
}

/// What is judged.
pub struct Evidence<'a> {
    /// What the controllers were told of the rules.
    pub settings: &'a Settings,
    /// So long after a controller was told that an engine drains or is gone it may still send there, in microseconds.
    pub grace: i64,
    /// The classes, as in the settings.
    pub classes: &'a [OfClass],
    /// Cores of an engine, times their speed.
    pub cores: &'a BTreeMap<String, f64>,
    /// When it began, in microseconds of the wall clock.
    pub start: i64,
    /// All queries.
    pub asked: &'a [Asked],
    /// What happened at engines, in order.
    pub log: &'a [Line],
    /// The lives of the controllers.
    pub lives: &'a [Life],
    /// How exact the clocks are.
    pub tolerance: Tolerance,
}
