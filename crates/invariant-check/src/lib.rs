//! Evidence for the judge of the rules, made of captures alone.
//!
//! A capture tells what a controller was told and what it answered; the same driver, fed along, tells which queries it
//! still owes an answer. Nothing here knows a rule.
//!
//! What a capture can't show: bytes that the wire sent wrongly, what an engine did with an attempt, and clients that
//! never got through. The laboratory's log of both ends shows those.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod gather;

pub use gather::Gathered;

use std::collections::BTreeMap;
use std::path::{Path, PathBuf};
use wheelfield::interface::Settings;
use wheelfield_invariants::{judge, Breach, Evidence, Tolerance};
use wheelfield_replay::{Options, Player, ReplayError, Verdict};

/// Why there is no verdict.
#[derive(Debug, thiserror::Error)]
pub enum CheckError {
    /// A capture can't be read.
    #[error("{file}: {fault}")]
    Replay {
        /// Which.
        file: PathBuf,
        /// Why.
        fault: ReplayError,
    },
    /// Two captures are of controllers that were told different rules.
    #[error("{0}: its controller was told other classes or rules than that of the first capture; judge them apart")]
    Differs(PathBuf),
    /// Nothing to judge.
    #[error("no step in these captures")]
    Empty,
}

/// What was found in captures.
#[derive(Debug, Default)]
pub struct Checked {
    /// Broken rules, in order of time.
    pub breaches: Vec<Breach>,
    /// Queries that were judged,
    pub queries: usize,
    /// not judged, as the capture ends or has a loss before their end,
    pub open: usize,
    /// attempts started.
    pub attempts: usize,
    /// Controllers, and their lives in all.
    pub lives: usize,
    /// When it began, in microseconds of the wall clock.
    pub start: i64,
    /// Spans in which a controller stood still: which, from, to.
    pub stalls: Vec<(usize, i64, i64)>,
    /// Captures with records lost or a torn end, by file.
    pub unvouched: Vec<(PathBuf, Verdict)>,
}

/// Judges captures together: those of all controllers, and of all their lives.
///
/// `grace` is for how long a controller may still send to an engine after it was told that it drains or is gone, in
/// microseconds.
///
/// # Errors
/// [`CheckError`].
pub fn check(files: &[PathBuf], grace: i64) -> Result<Checked, CheckError> {
    let mut gathered = Gathered::default();
    let mut settings: Option<Settings> = None;
    let mut checked = Checked::default();
    for file in files {
        let verdict = gathered
            .file(file, &mut settings)
            .map_err(|fault| CheckError::Replay { file: file.clone(), fault })?
            .ok_or_else(|| CheckError::Differs(file.clone()))?;
        if !verdict.unverified.is_empty() || verdict.truncated_after.is_some() {
            checked.unvouched.push((file.clone(), verdict));
        }
    }
    let settings = settings.ok_or(CheckError::Empty)?;
    gathered.close(&settings);
    let start = gathered.lives.iter().map(|l| l.from).min().ok_or(CheckError::Empty)?;
    let classes = gathered.classes(&settings);
    let cores: BTreeMap<String, f64> = gathered.cores.clone();
    checked.breaches = judge(&Evidence {
        settings: &settings,
        grace,
        classes: &classes,
        cores: &cores,
        start,
        asked: &gathered.asked,
        log: &gathered.log,
        lives: &gathered.lives,
        tolerance: Tolerance::STEPS,
    });
    checked.queries = gathered.asked.len();
    checked.open = gathered.open;
    checked.attempts = gathered.attempts;
    checked.lives = gathered.lives.len();
    checked.start = start;
    for life in &gathered.lives {
        checked.stalls.extend(life.stalls.iter().map(|(from, to)| (life.controller, *from, *to)));
    }
    checked.stalls.sort_by_key(|s| s.1);
    Ok(checked)
}

/// The player of a file that goes on behind losses.
fn open(file: &Path) -> Result<Player, ReplayError> {
    Player::open(file, Options { over_gaps: true, from: None })
}
