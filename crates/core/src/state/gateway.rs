//! What a gateway counts and awaits, beyond single engines and queries.

use super::Engine;
use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// When queries arrived and when retries were sent, within the window of the retry budget.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RetryWindow {
    pub arrivals: VecDeque<Micros>,
    pub retries: VecDeque<Micros>,
}

impl RetryWindow {
    /// How many queries arrived after a time, and how many retries were sent from it on.
    pub fn since(&self, from: Micros) -> (f64, f64) {
        let arrivals = self.arrivals.iter().filter(|at| **at > from).count();
        let retries = self.retries.iter().filter(|at| **at >= from).count();
        (arrivals as f64, retries as f64)
    }

    /// Drops what happened before a time.
    pub fn prune_before(&mut self, from: Micros) {
        for times in [&mut self.arrivals, &mut self.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

/// Queries that arrived and were rejected in this period, and the fraction rejected in the last one.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct AdmissionRates {
    pub arrivals: f64,
    pub rejections: f64,
    pub last_rejected_fraction: f64,
}

impl AdmissionRates {
    pub fn end_period(&mut self) {
        self.last_rejected_fraction = self.rejections / self.arrivals.max(1.0);
        (self.rejections, self.arrivals) = (0.0, 0.0);
    }
}

/// How often an engine was drawn for a query: in this period, and the running mean.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SelectionRate {
    pub this_period: f64,
    pub mean: f64,
}

/// Queries that wait for their turn by key, by the token of the timer that looks at them again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldQueries {
    pub timers: BTreeMap<u64, QueryId>,
    pub timers_set: u64,
}

impl HeldQueries {
    /// Registers a query and returns the token of its timer; tokens follow on `last_reserved`.
    pub fn hold(&mut self, query: QueryId, last_reserved: u64) -> u64 {
        self.timers_set += 1;
        let token = last_reserved + self.timers_set;
        self.timers.insert(token, query);
        token
    }
}

/// The state of the subscription to the endpoint list.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct EndpointListState {
    /// Failed subscriptions in a row.
    pub failures: u32,
    /// The tick of the next subscription, where one is due.
    pub subscribe_at_tick: Option<u32>,
    /// A list was received.
    pub received: bool,
}

/// Running means of the engines' load reports.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetLoad {
    /// Threads per core.
    pub mean_load: f64,
    /// When a report was last received, or work of ours was last in flight.
    pub last_report_at: Option<Micros>,
    /// Fraction of the memory granted.
    pub mean_memory: f64,
}

impl FleetLoad {
    /// Takes a report of an engine, and with the given weight into the means over all engines.
    pub fn record_report(&mut self, now: Micros, report: LoadReport, engine: &mut Engine, weight: f64) {
        if report == LoadReport::default() {
            return;
        }
        engine.record_report(now, report);
        self.last_report_at = Some(now);
        let move_toward = |mean: &mut f64, sample: Option<f64>| {
            *mean += weight * (sample.unwrap_or(*mean) - *mean);
        };
        move_toward(&mut self.mean_load, report.threads_per_core(engine));
        move_toward(&mut self.mean_memory, report.memory_granted);
    }
}

/// What a query is weighed by beyond its engine; assessed anew for each draw.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetConditions {
    /// This gateway's share of an engine is below one query of the heaviest class.
    pub low_share: bool,
    /// The gateways share their load reports.
    pub reports_shared: bool,
    /// Mean work of the heaviest class, in thread-seconds.
    pub heaviest_work: f64,
    /// What the work limits of all engines leave, in thread-seconds.
    pub limit_headroom: f64,
    /// The fraction of all draws that the headroom of all engines is for.
    pub limit_exempt_fraction: f64,
    /// The draw of the current query, from 0 to 1.
    pub random_value: f64,
}

/// What ends on a busy core before the others can have acted on a report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Completions {
    pub threads: f64,
    pub queries: f64,
}

/// Errors of late that an attempt at another engine cured, and those that it did not.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QueryErrors {
    pub recovered: f64,
    pub repeated: f64,
}
