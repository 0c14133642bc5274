//! The result of a replay.

use crate::Step;
use wheelfield::interface::{Micros, QueryId};
use wheelfield_driver::Instruction;

/// A decision that differs from the recorded one.
#[derive(Debug, PartialEq)]
pub struct Difference {
    /// The step as it was recorded.
    pub recorded: Step,
    /// The answer of the replay.
    pub replayed: Vec<Instruction>,
    /// The number that the replay gave a query.
    pub accepted: Option<QueryId>,
    /// The steps before.
    pub before: Vec<Step>,
}

/// Steps that could not be replayed, as records before them are lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct UnverifiedSpan {
    /// The last step that was replayed.
    pub after_step: u64,
    /// The last step that was not.
    pub to_step: u64,
}

/// The result of a replay.
#[derive(Debug, Default)]
pub struct Verdict {
    /// Steps replayed.
    pub steps: u64,
    /// Instructions compared.
    pub instructions: u64,
    /// Checkpoints whose whole state was compared.
    pub checkpoints: u64,
    /// The first decision that differs.
    pub difference: Option<Box<Difference>>,
    /// The step before a checkpoint whose state differs, though all decisions until then were equal.
    pub state_differs: Option<u64>,
    /// Spans that could not be replayed.
    pub unverified: Vec<UnverifiedSpan>,
    /// The last step before the file ends within a block.
    pub truncated_after: Option<u64>,
    /// Time of the first and of the last step.
    pub times: Option<(Micros, Micros)>,
}

impl Verdict {
    /// Whether all that was replayed was decided as recorded.
    pub fn equal(&self) -> bool {
        self.difference.is_none() && self.state_differs.is_none()
    }
}
