//! What a gateway keeps in mind: plain records, without decisions, tables or tuned values.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, BTreeSet, VecDeque};

/// One attempt of a query.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Attempt {
    pub engine: EngineId,
    pub sent: Micros,
    /// Estimated work in thread-seconds, as booked to the engine's backlog.
    pub work: f64,
    pub heard: Micros,
    /// Share done, as last told.
    pub done: f64,
    pub outcome: Option<Outcome>,
    pub cancelled: bool,
    /// Withdrawn for a bad plan.
    pub bad_plan: bool,
}

/// A query that is not over, or has attempts out.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ActiveQuery {
    pub query: Query,
    pub work: f64,
    pub attempts: Vec<Attempt>,
    pub over: bool,
}

impl ActiveQuery {
    pub fn out(&self) -> usize {
        self.attempts.iter().filter(|a| a.outcome.is_none()).count()
    }
    pub fn may_have_run(&self) -> bool {
        self.attempts.iter().any(Attempt::may_have_run)
    }
}

/// What is known of an engine.
#[derive(Clone, Debug, Serialize, Deserialize)]
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
    pub report: LoadReport,
    pub reported: Option<Micros>,
    pub threads_since: f64,
    /// Share of its memory that sends since the report want.
    pub memory_since: f64,
    /// Run time over what the estimate gives, running mean, and the best it has been.
    pub pace: f64,
    pub best_pace: f64,
    pub full_until: Micros,
    pub full_pause: i64,
    /// Attempts in a row whose connection broke.
    pub broken: u32,
    /// When one broke last.
    pub broke_at: Micros,
    pub was_pressed: bool,
    pub failing: f64,
    pub aside_until: Micros,
    pub aside_for: u32,
    pub on_trial: bool,
    pub last_sent: Micros,
    /// Attempts that we had there at once, at most, since our connections last broke or had rested for too long.
    pub opened: usize,
    pub heard: Micros,
    pub cold_since: Option<Micros>,
    pub sent_cold: VecDeque<(Micros, f64)>,
    pub warm: VecDeque<u64>,
}

/// What is known of a class: decayed sums of work done, of hints, and of samples.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ClassView {
    pub work: f64,
    pub hints: f64,
    pub count: f64,
    /// Bad plans that a fresh attempt cured, and those it did not.
    pub cured: u32,
    pub uncured: u32,
}

/// Sums over the queries of all classes.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Sums {
    pub worth: f64,
    pub work: f64,
    pub threads: f64,
    pub count: f64,
}

impl ClassView {
    /// What the samples of all classes come to.
    pub fn sum(classes: &[Class], views: &[ClassView]) -> Sums {
        classes.iter().zip(views).fold(Sums::default(), |all, (class, view)| Sums {
            worth: all.worth + class.value * view.count,
            work: all.work + view.work,
            threads: all.threads + class.threads * view.count,
            count: all.count + view.count,
        })
    }
}

/// The line of queries of one key.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct KeyQueue {
    pub waiting: VecDeque<QueryId>,
    pub rests_until: Micros,
}

impl Attempt {
    /// An attempt just sent.
    pub fn new(engine: EngineId, sent: Micros, work: f64) -> Self {
        let (heard, done, outcome) = (sent, 0.0, None);
        Attempt { engine, sent, work, heard, done, outcome, cancelled: false, bad_plan: false }
    }

    pub fn may_have_run(&self) -> bool {
        !self.outcome.is_some_and(Outcome::never_ran)
    }

    /// Its engine returned an error.
    pub fn erred(&self) -> bool {
        self.outcome == Some(Outcome::Error)
    }
}

/// What a query is weighed by beyond its engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetConditions {
    /// This gateway's share of an engine is below one query of the heaviest class.
    pub scarce: bool,
    /// The gateways share the news of the engines.
    pub shared: bool,
    /// Mean work of the heaviest class.
    pub heaviest: f64,
    /// What the bounds of all engines leave.
    pub slack: f64,
    /// The part of all draws that the room of all engines is for.
    pub calm: f64,
    /// The draw of the query at hand, from 0 to 1.
    pub draw: f64,
}

/// What a gateway counts and awaits.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Ledger {
    /// Arrivals and further attempts within the span of the attempt budget.
    pub taken: VecDeque<Micros>,
    pub extras: VecDeque<Micros>,
    /// Queries taken and refused in this period, and the share refused in the last.
    pub arrivals: f64,
    pub refusals: f64,
    pub refused_share: f64,
    /// Draws in this period, and their running mean.
    pub drawn: f64,
    pub rate: f64,
    /// Our part of the threads that the engines report, running mean.
    pub share: f64,
    /// Whose timers run.
    pub timers: BTreeMap<u64, QueryId>,
    pub timers_set: u64,
    pub sweeps: u32,
    /// Failed subscriptions in a row, and the sweep of the next one.
    pub list_failures: u32,
    pub subscribe_at: Option<u32>,
    pub listed: bool,
    /// Running means of what the engines' reports tell: threads a core, share of memory granted.
    pub mean_load: f64,
    pub told: Option<Micros>,
    pub mean_memory: f64,
    pub around: FleetConditions,
    /// Threads that end on a busy core while news are acted on.
    pub turnover: f64,
    pub stay: f64,
    /// Errors that another engine cured, and those it did not, of late.
    pub errors_cured: f64,
    pub errors_uncured: f64,
}

impl LoadReport {
    /// Threads a core, as told or counted by the queries in hand.
    pub fn load(&self, engine: &Engine) -> Option<f64> {
        self.utilisation.or(self.in_flight.map(|n| n * engine.mean_threads() / engine.cores))
    }
}

impl Ledger {
    /// Takes a report of an engine, and at the given weight into the means over all engines.
    pub fn take_report(&mut self, now: Micros, report: LoadReport, engine: &mut Engine, weight: f64) {
        if report == LoadReport::default() {
            return;
        }
        engine.take_report(now, report);
        self.told = Some(now);
        let toward = |mean: &mut f64, told: Option<f64>| *mean += weight * (told.unwrap_or(*mean) - *mean);
        toward(&mut self.mean_load, report.load(engine));
        toward(&mut self.mean_memory, report.memory_granted);
    }

    /// Notes whose turn a timer awaits; its token counts on from the last of the module's own.
    pub fn await_turn(&mut self, id: QueryId, own: u64) -> u64 {
        self.timers_set += 1;
        self.timers.insert(own + self.timers_set, id);
        own + self.timers_set
    }

    /// Arrivals and further attempts since a time.
    pub fn since(&self, from: Micros) -> (f64, f64) {
        let taken = self.taken.iter().filter(|t| **t > from).count() as f64;
        (taken, self.extras.iter().filter(|t| **t >= from).count() as f64)
    }

    /// Drops arrivals and further attempts from before a time.
    pub fn forget_before(&mut self, from: Micros) {
        for times in [&mut self.taken, &mut self.extras] {
            while times.front().is_some_and(|t| *t < from) {
                times.pop_front();
            }
        }
    }
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
            report: LoadReport::default(),
            reported: None,
            threads_since: 0.0,
            memory_since: 0.0,
            pace: 1.0,
            best_pace: 1.0,
            full_until: Micros(i64::MIN),
            full_pause: 1,
            broken: 0,
            broke_at: Micros(0),
            was_pressed: false,
            failing: 0.0,
            aside_until: Micros(i64::MIN),
            aside_for: 1,
            on_trial: false,
            last_sent: Micros(0),
            opened: 0,
            heard: Micros(0),
            cold_since: None,
            sent_cold: VecDeque::new(),
            warm: VecDeque::new(),
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

    /// Books an attempt: its work as estimated and as its class usually does. `rested`: what it was sent on is new.
    pub fn book(&mut self, now: Micros, rested: bool, (work, usual): (f64, f64), threads: f64, memory: f64) {
        if self.out.len() == 1 {
            self.heard = now;
        }
        self.opened = if rested { 0 } else { self.opened }.max(self.out.len());
        self.last_sent = now;
        self.backlog += work;
        self.threads_out += threads;
        self.threads_since += threads;
        self.memory_since += memory;
        self.sent_cold.push_back((now, usual));
    }

    /// A process that started since is judged afresh.
    pub fn starts_anew(&mut self, since: Option<Micros>, now: Micros) {
        self.cold_since = since;
        self.warm.clear();
        self.opened = 0;
        (self.failing, self.aside_until, self.aside_for) = (0.0, now, 1);
        (self.pace, self.best_pace) = (1.0, 1.0);
    }

    pub fn release(&mut self, attempt: (QueryId, usize), work: f64, threads: f64) {
        if self.out.remove(&attempt) {
            self.backlog = (self.backlog - work).max(0.0);
            self.threads_out = (self.threads_out - threads).max(0.0);
            self.threads_since = (self.threads_since - threads).max(0.0);
        }
    }

    /// A report that differs from the last one is new: what was sent before it is in it.
    fn take_report(&mut self, now: Micros, report: LoadReport) {
        if report != self.report {
            (self.threads_since, self.memory_since) = (0.0, 0.0);
            self.report = report;
        }
        self.reported = Some(now);
    }
}

/// The source of chance, kept by its seed: it goes on from there as it would have.
pub mod chance {
    use serde::{Deserialize, Deserializer, Serialize, Serializer};

    pub fn serialize<S: Serializer>(random: &fastrand::Rng, to: S) -> Result<S::Ok, S::Error> {
        random.get_seed().serialize(to)
    }

    pub fn deserialize<'de, D: Deserializer<'de>>(from: D) -> Result<fastrand::Rng, D::Error> {
        u64::deserialize(from).map(fastrand::Rng::with_seed)
    }
}
