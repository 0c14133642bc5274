//! Checks the rules of `wheelfield-invariants` on a history that is built from captures alone.
//!
//! A capture contains the inputs of a controller and its outputs. Replaying it in a driver shows which queries are still
//! unanswered. This crate builds the history; the rules themselves are in `wheelfield-invariants`.
//!
//! A capture cannot show bytes that were sent incorrectly, what an engine did with an attempt, or clients that could not
//! connect. The logs of clients and engines in the test bed show those.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod history_builder;

pub use history_builder::HistoryBuilder;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wheelfield::interface::Settings;
use wheelfield_invariants::{check_history, ClockTolerance, History, Violation};
use wheelfield_replay::{Options, Player, ReplayError, Verdict};

/// Why captures could not be checked.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A capture cannot be read.
    #[error("{file}: {error}")]
    Replay {
        /// The capture.
        file: PathBuf,
        /// The cause.
        error: ReplayError,
    },
    /// The controllers of two captures have different settings.
    #[error(
        "{0}: the settings of its controller differ from those of the first capture; check them separately"
    )]
    SettingsMismatch(PathBuf),
    /// The captures are empty.
    #[error("the captures contain no steps")]
    NoSteps,
}

/// The result of a check.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Violations of rules, in order of time.
    pub violations: Vec<Violation>,
    /// Number of queries that were checked.
    pub queries: usize,
    /// Number of queries that were not checked, because their capture ends or has a loss before they ended.
    pub unfinished_queries: usize,
    /// Number of attempts started.
    pub attempts: usize,
    /// Number of lifetimes of controller processes.
    pub lifetimes: usize,
    /// Start of the first lifetime, in microseconds of the wall clock.
    pub started_at: i64,
    /// Spans in which a controller was stalled: its index, start and end.
    pub stalls: Vec<(usize, i64, i64)>,
    /// Captures with lost records or a truncated end.
    pub unverified_captures: Vec<(PathBuf, Verdict)>,
}

/// Checks captures together: those of all controllers and all of their processes.
///
/// `drain_grace` is how long a controller may still send to an engine after it was told that the engine is draining or removed,
/// in microseconds.
///
/// # Errors
/// [`CheckError`] if a capture cannot be read, the settings differ or there are no steps.
pub fn check(files: &[PathBuf], drain_grace: i64) -> Result<CheckReport, CheckError> {
    let mut builder = HistoryBuilder::default();
    let mut settings: Option<Settings> = None;
    let mut report = CheckReport::default();
    for file in files {
        let verdict = builder
            .add_capture(file, &mut settings)
            .map_err(|error| CheckError::Replay { file: file.clone(), error })?
            .ok_or_else(|| CheckError::SettingsMismatch(file.clone()))?;
        if !verdict.unverified.is_empty() || verdict.truncated_after.is_some() {
            report.unverified_captures.push((file.clone(), verdict));
        }
    }
    let settings = settings.ok_or(CheckError::NoSteps)?;
    builder.finish(&settings);
    let started_at =
        builder.lifetimes.iter().map(|lifetime| lifetime.started_at).min().ok_or(CheckError::NoSteps)?;
    let classes = builder.classes(&settings);
    let engine_cores: BTreeMap<String, f64> = builder.engine_cores.clone();
    report.violations = check_history(&History {
        settings: &settings,
        drain_grace,
        classes: &classes,
        engine_cores: &engine_cores,
        started_at,
        queries: &builder.queries,
        events: &builder.events,
        lifetimes: &builder.lifetimes,
        tolerance: ClockTolerance::SINGLE_CLOCK,
    });
    report.queries = builder.queries.len();
    report.unfinished_queries = builder.unfinished_queries;
    report.attempts = builder.attempts;
    report.lifetimes = builder.lifetimes.len();
    report.started_at = started_at;
    for lifetime in &builder.lifetimes {
        report.stalls.extend(lifetime.stalls.iter().map(|(from, to)| (lifetime.controller, *from, *to)));
    }
    report.stalls.sort_by_key(|stall| stall.1);
    Ok(report)
}

/// Opens a capture for a replay that continues after lost records.
fn open(file: &Path) -> Result<Player, ReplayError> {
    Player::open(file, Options { over_gaps: true, from: None })
}
