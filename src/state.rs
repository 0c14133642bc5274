//! What a gateway keeps in mind: plain records, without decisions, tables or tuned values.

use crate::interface::*;
use std::collections::{BTreeSet, VecDeque};

/// One attempt of a query.
#[derive(Debug)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent: Micros,
    /// Estimated work in thread-seconds, as booked to the engine's backlog.
    pub work: f64,
    pub heard: Micros,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
}

/// A query that is not over, or has attempts out.
#[derive(Debug)]
pub struct Live {
    pub query: Query,
    pub work: f64,
    pub attempts: Vec<Attempt>,
    pub over: bool,
    /// Beyond its tenant's allowance.
    pub excess: bool,
    pub priority: u8,
}

impl Live {
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(|a| !a.outcome.is_some_and(Outcome::never_ran))
    }
}

/// What is known of an engine.
#[derive(Debug)]
pub struct Engine {
    pub entry: EngineEntry,
    pub cores: f64,
    pub memory_mb: f64,
    /// The bound d_t on our outstanding work there, in thread-seconds.
    pub bound: f64,
    pub start: f64,
    pub last_error: Option<f64>,
    pub delays: f64,
    pub samples: f64,
    pub backlog: f64,
    pub threads_out: f64,
    pub out: BTreeSet<(QueryId, usize)>,
    pub report: Report,
    pub reported: Option<Micros>,
    pub threads_since: f64,
    /// Share of its memory that sends since the report want.
    pub memory_since: f64,
    /// Run time over what the estimate gives, running mean, and the best it has been.
    pub pace: f64,
    pub best_pace: f64,
    pub full_until: Micros,
    pub full_pause: i64,
    pub was_pressed: bool,
    pub failing: f64,
    pub aside_until: Micros,
    pub aside_for: u32,
    pub on_trial: bool,
    pub heard: Micros,
    pub cold_since: Option<Micros>,
    pub sent_cold: VecDeque<(Micros, f64)>,
    pub warm: VecDeque<u64>,
    pub probe_out: bool,
}

/// What is known of a class: decayed sums of work done, of hints, and of samples.
#[derive(Debug)]
pub struct ClassView {
    pub work: f64,
    pub hints: f64,
    pub count: f64,
}

/// The line of queries of one key.
#[derive(Debug, Default)]
pub struct KeyLine {
    pub waiting: VecDeque<QueryId>,
    pub rests_until: Micros,
}

impl Engine {
    /// An engine of which nothing has been seen.
    pub fn new(entry: EngineEntry, cores: f64, memory_mb: f64, start: f64) -> Self {
        Engine {
            entry,
            cores,
            memory_mb,
            bound: start,
            start,
            last_error: None,
            delays: 0.0,
            samples: 0.0,
            backlog: 0.0,
            threads_out: 0.0,
            out: BTreeSet::new(),
            report: Report::default(),
            reported: None,
            threads_since: 0.0,
            memory_since: 0.0,
            pace: 1.0,
            best_pace: 1.0,
            full_until: Micros(i64::MIN),
            full_pause: 1,
            was_pressed: false,
            failing: 0.0,
            aside_until: Micros(i64::MIN),
            aside_for: 1,
            on_trial: false,
            heard: Micros(0),
            cold_since: None,
            sent_cold: VecDeque::new(),
            warm: VecDeque::new(),
            probe_out: false,
        }
    }

    pub fn sample(&mut self, delay_in_aims: f64, work: f64) {
        self.delays += delay_in_aims * work;
        self.samples += work;
    }

    pub fn mean_threads(&self) -> f64 {
        if self.out.is_empty() {
            1.0
        } else {
            (self.threads_out / self.out.len() as f64).max(1.0)
        }
    }

    pub fn release(&mut self, attempt: (QueryId, usize), work: f64, threads: f64) {
        if self.out.remove(&attempt) {
            self.backlog = (self.backlog - work).max(0.0);
            self.threads_out = (self.threads_out - threads).max(0.0);
            self.threads_since = (self.threads_since - threads).max(0.0);
        }
    }
}
