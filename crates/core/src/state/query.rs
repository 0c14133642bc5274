//! Queries and their attempts, and the state kept for classes and keys.

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
    /// When the engine last sent an update of the attempt.
    pub last_update_at: Micros,
    /// Last reported progress, as a fraction.
    pub progress: f64,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
    /// It was cancelled because its plan was bad.
    pub bad_plan: bool,
}

impl Attempt {
    /// Creates an attempt that is being sent.
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

    /// Whether the query may have run. False only if the outcome proves that it did not.
    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Whether its engine returned an error.
    pub fn failed_with_error(&self) -> bool {
        self.outcome == Some(Outcome::Error)
    }
}

/// A query that has no final answer yet or still has attempts in flight.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActiveQuery {
    pub query: Query,
    /// Estimated work in thread-seconds.
    pub work: f64,
    pub attempts: Vec<Attempt>,
    /// The query was answered, its answer has begun, or its client has left. No attempts are sent any more.
    pub finished: bool,
}

impl ActiveQuery {
    /// Number of attempts without an outcome.
    pub fn in_flight(&self) -> usize {
        self.attempts.iter().filter(|attempt| attempt.outcome.is_none()).count()
    }

    /// Whether any of its attempts may have run.
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

/// Estimates for a class: exponentially decayed sums over its served queries.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassEstimates {
    /// Work done, in thread-seconds.
    pub work: f64,
    /// Work that the clients had estimated, in thread-seconds.
    pub hints: f64,
    pub count: f64,
    /// Bad plans that a retry avoided.
    pub replans_succeeded: u32,
    /// Bad plans that a retry did not avoid.
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
    /// Computes the sums over all classes, each weighted by its count.
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
    /// Until this time no query of the key starts, because an earlier attempt may still run.
    pub cooldown_until: Micros,
}
