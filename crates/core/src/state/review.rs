//! What the policy finds out about engines and attempts, and hands on within one event.

use super::Engine;

/// What we may send to an engine in slow start.
pub struct SlowStartBudget {
    /// Work that we may send there within a window, in thread-seconds.
    pub work: f64,
    /// For how many gateways we draw, lest it stand idle.
    pub weight_multiplier: f64,
    /// It is shared by time slots, not evenly.
    pub by_time_slot: bool,
}

/// Why an attempt is cancelled.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum CancelReason {
    /// Its query is over.
    QueryOver,
    /// It or its engine sends no updates.
    Silent,
    /// Its plan is bad.
    BadPlan,
}

/// What is to be done about an attempt in flight.
pub enum AttemptVerdict {
    /// It or its engine is silent: send it again. `lost`: its engine sends updates of all else.
    Silent { lost: bool },
    /// Its plan is bad: a fresh attempt may be better.
    BadPlan,
    /// A fresh attempt was no better: the query itself takes so much work.
    Expensive { work: f64 },
    /// It ends too late to be worth anything, at an overloaded engine.
    TooLate,
}

impl AttemptVerdict {
    /// Attempts are sent again first, then estimates are corrected, then queries are given up.
    pub fn processing_order(&self) -> u8 {
        match self {
            AttemptVerdict::Silent { .. } | AttemptVerdict::BadPlan => 0,
            AttemptVerdict::Expensive { .. } => 1,
            AttemptVerdict::TooLate => 2,
        }
    }
}

/// What holds for all attempts at one engine.
pub struct EngineReview<'a> {
    pub engine: &'a Engine,
    /// No attempt there has been heard of for too long.
    pub silent: bool,
    pub overloaded: bool,
    pub paging: bool,
}
