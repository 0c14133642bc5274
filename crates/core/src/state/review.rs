//! Intermediate results that the policy computes while it handles one event.

use super::Engine;

/// What this gateway may send to an engine in slow start.
pub struct SlowStartBudget {
    /// Work that may be sent there within a window, in thread-seconds.
    pub work: f64,
    /// Factor on the selection weight. A gateway with a time slot also selects the engine on behalf of the
    /// gateways without one; otherwise the engine would be underused.
    pub weight_multiplier: f64,
    /// The budget is divided into time slots, not evenly.
    pub by_time_slot: bool,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its query is finished.
    QueryOver,
    /// The attempt or its engine sends no updates.
    Silent,
    /// Its plan is bad.
    BadPlan,
}

/// The result of the review of an attempt in flight.
pub enum AttemptVerdict {
    /// The attempt or its engine sends no updates: retry it. With `lost` set, the engine keeps sending
    /// updates of other attempts.
    Silent { lost: bool },
    /// Its plan is bad: a retry may get a better one.
    BadPlan,
    /// A retry was no faster: the query itself takes this much work, in thread-seconds.
    Expensive { work: f64 },
    /// The attempt runs on an overloaded engine and would end too late to have value.
    TooLate,
}

impl AttemptVerdict {
    /// Order in which verdicts are handled: retries first, then corrected estimates, then queries to give up.
    pub fn processing_order(&self) -> u8 {
        match self {
            AttemptVerdict::Silent { .. } | AttemptVerdict::BadPlan => 0,
            AttemptVerdict::Expensive { .. } => 1,
            AttemptVerdict::TooLate => 2,
        }
    }
}

/// The result of the review of an engine, which applies to all attempts there.
pub struct EngineReview<'a> {
    pub engine: &'a Engine,
    /// Neither the engine nor at least one of its attempts has sent an update for too long.
    pub silent: bool,
    pub overloaded: bool,
    pub paging: bool,
}
