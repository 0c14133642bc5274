//! Queries, their attempts, and what is known of their classes and keys.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::VecDeque;

/// One attempt of a query at one engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent_at: Micros,
    /// Estimated work in thread-seconds, as reserved at the engine.
    pub reserved_work: f64,
    /// When the engine last sent anything about it.
    pub last_update_at: Micros,
    /// Fraction done, as last reported.
    pub progress: f64,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
    /// Cancelled because its plan was bad.
    pub bad_plan: bool,
}

impl Attempt {
    /// An attempt that was just sent.
    pub fn new(engine: EngineId, sent_at: Micros, reserved_work: f64) -> Self {
        Attempt {
            engine,
            sent_at,
            reserved_work,
            last_update_at: sent_at,
            progress: 0.0,
            outcome: None,
            cancelled: false,
            bad_plan: false,
        }
    }

    /// False only where the outcome proves that the query never ran.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Whether its engine returned an error.
    pub fn failed_with_error(&self) -> bool {
        self.outcome == Some(Outcome::Error)
    }
}

/// A query that has no final answer yet, or still has attempts in flight.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActiveQuery {
    pub query: Query,
    /// Estimated work in thread-seconds.
    pub work: f64,
    pub attempts: Vec<Attempt>,
    /// It was answered, its answer has begun, or its client has left: nothing is started for it any more.
    pub finished: bool,
}

impl ActiveQuery {
    /// How many of its attempts have no outcome yet.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Whether any of its attempts may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

/// What is known of a class: decayed sums over its served queries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassEstimates {
    /// Work done, in thread-seconds.
    pub work: f64,
    /// Work that the clients had estimated.
    pub hints: f64,
    pub count: f64,
    /// Bad plans that a fresh attempt cured.
    pub replans_succeeded: u32,
    /// Bad plans that a fresh attempt did not cure.
    pub replans_failed: u32,
}

/// Sums over the queries of all classes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct ClassTotals {
    pub value: f64,
    pub work: f64,
    pub threads: f64,
    pub count: f64,
}

impl ClassEstimates {
    /// The sums over all classes, each weighted by its count.
    pub fn total(classes: &[Class], estimates: &[ClassEstimates]) -> ClassTotals {
        classes.iter().zip(estimates).fold(ClassTotals::default(), |all, (class, estimate)| ClassTotals {
            value: all.value + class.value * estimate.count,
            work: all.work + estimate.work,
            threads: all.threads + class.threads * estimate.count,
            count: all.count + estimate.count,
        })
    }
}

/// The queries of one key, in the order in which they must run.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyQueue {
    pub waiting: VecDeque<QueryId>,
    /// Nothing of this key starts before: an earlier attempt may still run.
    pub cooldown_until: Micros,
}
