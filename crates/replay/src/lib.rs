//! Replays a capture and compares the decisions with the recorded ones.
//!
//! A replay feeds the recorded inputs to the same [`Driver`] that the controllers run. This crate contains no decision logic
//! of its own: it reports the driver's answer to a recorded input, or its answer to a modified one.
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

/// Maximum number of steps kept as context before a difference.
pub const MAX_CONTEXT_STEPS: usize = 12;

/// A step of a capture: an input of the driver and its recorded answer.
#[derive(Clone, Debug, PartialEq)]
pub struct Step {
    /// Position in the capture, starting at 1.
    pub number: u64,
    /// Time of the input.
    pub at: Micros,
    /// Input of the driver.
    pub input: RecordedInput,
    /// ID that the driver gave the query, if the input was the arrival of a query and was accepted.
    pub accepted: Option<QueryId>,
    /// Instructions that the driver returned.
    pub answer: Vec<Instruction>,
}

/// Error that ends a replay before the end of the capture.
#[derive(Debug, thiserror::Error)]
pub enum ReplayError {
    /// The capture cannot be read.
    #[error(transparent)]
    Read(#[from] ReadError),
    /// Records are missing and [`Options::over_gaps`] is not set.
    #[error("records are missing after step {after}; use --over-gaps to resume the replay at the next checkpoint")]
    Gap {
        /// Last step before the gap.
        after: u64,
    },
    /// The replay has to start at a checkpoint that was written by another build and cannot be read by this one.
    #[error(
        "the checkpoint was written by an incompatible build; replay from the start of the capture"
    )]
    IncompatibleCheckpoint,
    /// The capture has a step before any checkpoint, so there is no state to replay it from.
    #[error(
        "the capture has a step before its first checkpoint; there is no state to replay it from"
    )]
    MissingInitialState,
}

/// Options of a replay.
#[derive(Clone, Copy, Debug, Default)]
pub struct Options {
    /// Whether to resume at the next checkpoint after a gap instead of failing with [`ReplayError::Gap`].
    pub over_gaps: bool,
    /// Starts the replay at the last checkpoint before this time instead of at the start of the capture.
    pub from: Option<Micros>,
}

/// Feeds one input to a driver and appends its instructions to `answer`. Returns the ID of the query if the input was the
/// arrival of a query and the driver accepted it.
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

/// Replays a capture up to its end or to the first step whose answer differs from the recorded one.
///
/// # Errors
/// Returns [`ReplayError`] if the capture cannot be read, records are missing or there is no state to start from.
pub fn run(path: &Path, options: Options) -> Result<Verdict, ReplayError> {
    let mut player = Player::open(path, options)?;
    let mut context: VecDeque<Step> = VecDeque::new();
    while let Some(ReplayedStep {
        recorded,
        accepted,
        answer,
    }) = player.next_step()?
    {
        if answer != recorded.answer || accepted != recorded.accepted {
            let context = context.into();
            let difference = Difference {
                recorded,
                replayed: answer,
                accepted,
                context,
            };
            let mut verdict = player.into_verdict();
            verdict.difference = Some(Box::new(difference));
            return Ok(verdict);
        }
        if context.len() == MAX_CONTEXT_STEPS {
            context.pop_front();
        }
        context.push_back(recorded);
    }
    Ok(player.into_verdict())
}
