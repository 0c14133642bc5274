//! Evidence for the judge of the rules, made of captures alone.
//!
//! A capture tells what a controller was told and what it answered; the same driver, fed along, tells which queries it
//! still owes an answer. Nothing here knows a rule.
//!
//! What a capture can't show: bytes that the wire sent wrongly, what an engine did with an attempt, and clients that
//! never got through. The laboratory's log of both ends shows those.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod history_builder;

pub use history_builder::HistoryBuilder;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wheelfield::interface::Settings;
use wheelfield_invariants::{check_history, ClockTolerance, History, Violation};
use wheelfield_replay::{Options, Player, ReplayError, Verdict};

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A capture can't be read.
    #[error("{file}: {error}")]
    Replay {
        /// Which.
        file: PathBuf,
        /// Why.
        error: ReplayError,
    },
    /// Two captures are of controllers that were told different rules.
    #[error("{0}: its controller was told other classes or rules than that of the first capture; judge them apart")]
    SettingsMismatch(PathBuf),
    /// Nothing to judge.
    #[error("no step in these captures")]
    NoSteps,
}

/// What was found in captures.
#[derive(Debug, Default)]
pub struct CheckReport {
    /// Broken rules, in order of time.
    pub violations: Vec<Violation>,
    /// Queries that were judged,
    pub queries: usize,
    /// not judged, as the capture ends or has a loss before their end,
    pub unfinished_queries: usize,
    /// attempts started.
    pub attempts: usize,
    /// Controllers, and their lives in all.
    pub lifetimes: usize,
    /// When it began, in microseconds of the wall clock.
    pub started_at: i64,
    /// Spans in which a controller stood still: which, from, to.
    pub stalls: Vec<(usize, i64, i64)>,
    /// Captures with records lost or a torn end, by file.
    pub unverified_captures: Vec<(PathBuf, Verdict)>,
}

/// Judges captures together: those of all controllers, and of all their lives.
///
/// `grace` is for how long a controller may still send to an engine after it was told that it drains or is gone, in
/// microseconds.
///
/// # Errors
/// [`CheckError`].
pub fn check(files: &[PathBuf], grace: i64) -> Result<CheckReport, CheckError> {
    let mut gathered = HistoryBuilder::default();
    let mut settings: Option<Settings> = None;
    let mut checked = CheckReport::default();
    for file in files {
        let verdict = gathered
            .add_capture(file, &mut settings)
            .map_err(|error| CheckError::Replay { file: file.clone(), error })?
            .ok_or_else(|| CheckError::SettingsMismatch(file.clone()))?;
        if !verdict.unverified.is_empty() || verdict.truncated_after.is_some() {
            checked.unverified_captures.push((file.clone(), verdict));
        }
    }
    let settings = settings.ok_or(CheckError::NoSteps)?;
    gathered.finish(&settings);
    let start = gathered.lifetimes.iter().map(|l| l.started_at).min().ok_or(CheckError::NoSteps)?;
    let classes = gathered.classes(&settings);
    let cores: BTreeMap<String, f64> = gathered.engine_cores.clone();
    checked.violations = check_history(&History {
        settings: &settings,
        drain_grace: grace,
        classes: &classes,
        engine_cores: &cores,
        started_at: start,
        queries: &gathered.queries,
        events: &gathered.events,
        lifetimes: &gathered.lifetimes,
        tolerance: ClockTolerance::SINGLE_CLOCK,
    });
    checked.queries = gathered.queries.len();
    checked.unfinished_queries = gathered.unfinished_queries;
    checked.attempts = gathered.attempts;
    checked.lifetimes = gathered.lifetimes.len();
    checked.started_at = start;
    for life in &gathered.lifetimes {
        checked.stalls.extend(life.stalls.iter().map(|(from, to)| (life.controller, *from, *to)));
    }
    checked.stalls.sort_by_key(|s| s.1);
    Ok(checked)
}

/// The player of a file that goes on behind losses.
fn open(file: &Path) -> Result<Player, ReplayError> {
    Player::open(file, Options { over_gaps: true, from: None })
}
