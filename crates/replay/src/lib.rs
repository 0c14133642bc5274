//! Feeds a capture to the same driver and compares the decisions.
//!
//! A replay is the controllers' own [`Driver`], fed with the inputs that a controller's driver had. Nothing here knows how a
//! decision comes about: what is shown of one is the module's answer, or its answer to another input.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod describe;
mod player;
pub mod rewrite;
pub mod shadow;
mod verdict;

pub use player::{Player, ReplayedStep, Snapshots};
pub use verdict::{Difference, UnverifiedSpan, Verdict};

use std::collections::VecDeque;
use std::path::Path;
use wheelfield::interface::{Micros, QueryId};
use wheelfield_capture::{ReadError, RecordedInput};
use wheelfield_driver::{Driver, Instruction};

/// Steps shown before a difference.
pub const CONTEXT: usize = 12;

/// A step of a capture.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Its number in the capture, from 1.
    pub number: u64,
    /// When it was.
    pub at: Micros,
    /// The input of the driver.
    pub input: RecordedInput,
    /// The number of a query that was accepted.
    pub accepted: Option<QueryId>,
    /// The driver's answer.
    pub answer: Vec<Instruction>,
}

/// Why a replay ended before the end of its capture.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The capture can't be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Records are lost, and [`Options::over_gaps`] is not set.
    #[error("records are missing after step {after}; with --over-gaps the replay enters again at the next checkpoint")]
    Gap {
        /// The last step before.
        after: u64,
    },
    /// The replay is to enter at a checkpoint of another build, which this one can't read.
    #[error("the state at the checkpoint is of another build; replay from the capture's start")]
    OtherBuild,
    /// A step comes before the start and any checkpoint.
    #[error("a step before anything to start from")]
    NoStart,
}

/// How to replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether to enter again at the next checkpoint after a loss, in place of ending there.
    pub over_gaps: bool,
    /// Enters at the last checkpoint before this time.
    pub from: Option<Micros>,
}

/// Feeds one input to a driver and collects its answer. Returns the number of a query that was accepted.
pub fn feed(
    driver: &mut Driver,
    at: Micros,
    input: &RecordedInput,
    answer: &mut Vec<Instruction>,
) -> Option<QueryId> {
    match input {
        RecordedInput::Input(input) => driver.handle_input(at, input.clone(), answer),
        RecordedInput::Arrive { arrival, .. } => {
            return driver.submit(at, arrival.clone(), answer).ok()
        }
        RecordedInput::ArriveWithId { id, arrival, .. } => {
            return driver.submit_with_id(at, *id, arrival.clone(), answer).ok()
        }
        RecordedInput::TimersDue => {
            driver.handle_timers(at, answer);
        }
        RecordedInput::TimerFired(token) => {
            driver.fire_timer(at, *token, answer);
        }
    }
    None
}

/// Replays a capture up to its end or to the first decision that differs.
///
/// # Errors
/// [`ReplayError`], where the capture can't be read or records are lost.
pub fn run(path: &Path, options: Options) -> Result<Verdict, ReplayError> {
    let mut player = Player::open(path, options)?;
    let mut before: VecDeque<Step> = VecDeque::new();
    while let Some(ReplayedStep {
        recorded,
        accepted,
        answer,
    }) = player.next_step()?
    {
        if answer != recorded.answer || accepted != recorded.accepted {
            let before = before.into();
            let difference = Difference {
                recorded,
                replayed: answer,
                accepted,
                before,
            };
            let mut verdict = player.into_verdict();
            verdict.difference = Some(Box::new(difference));
            return Ok(verdict);
        }
        if before.len() == CONTEXT {
            before.pop_front();
        }
        before.push_back(recorded);
    }
    Ok(player.into_verdict())
}
