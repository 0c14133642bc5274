//! The result of a replay.

use crate::Step;
use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::Instruction;

/// A step whose replayed answer differs from the recorded one.
#[derive(Debug, PartialEq)]
pub struct Difference {
    /// The step as recorded.
    pub recorded: Step,
    /// Instructions that the driver returned in the replay.
    pub replayed: Vec<Instruction>,
    /// ID that the replay gave the query, if the step is the arrival of a query and the replay accepted it.
    pub accepted: Option<QueryId>,
    /// The steps before it, up to [`MAX_CONTEXT_STEPS`](crate::MAX_CONTEXT_STEPS) of them.
    pub context: Vec<Step>,
}

/// A span of steps that could not be replayed because records before them are missing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnverifiedSpan {
    /// Last step that was replayed before the span.
    pub after_step: u64,
    /// Last step of the span.
    pub to_step: u64,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Number of steps replayed.
    pub steps: u64,
    /// Number of instructions that the replay returned.
    pub instructions: u64,
    /// Number of checkpoints reached while replaying. Each is compared with the replayed state, unless this build cannot decode
    /// it.
    pub checkpoints: u64,
    /// First step whose answer differs, if any.
    pub difference: Option<Box<Difference>>,
    /// Last step before the first checkpoint whose state differs from the replayed one, although all answers up to it are
    /// equal.
    pub state_differs: Option<u64>,
    /// Spans of steps that could not be replayed.
    pub unverified: Vec<UnverifiedSpan>,
    /// Last step read before an incomplete block at the end of the file, if there is one.
    pub truncated_after: Option<u64>,
    /// Times of the first and the last step that were read.
    pub time_range: Option<(Micros, Micros)>,
}

impl Verdict {
    /// Returns whether all replayed answers and all compared checkpoints equal the recorded ones.
    pub fn equal(&self) -> bool {
        self.difference.is_none() && self.state_differs.is_none()
    }
}
