//! The state of a gateway that does not belong to a single engine or query.

use super::Engine;
use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeMap, VecDeque};

/// Times of arrivals and retries within the window of the retry budget.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct RetryWindow {
    pub arrivals: VecDeque<Micros>,
    pub retries: VecDeque<Micros>,
}

impl RetryWindow {
    /// Number of arrivals after a time, and of retries at or after it.
    pub fn since(&self, from: Micros) -> (f64, f64) {
        let arrivals = self.arrivals.iter().filter(|at| **at > from).count();
        let retries = self.retries.iter().filter(|at| **at >= from).count();
        (arrivals as f64, retries as f64)
    }

    /// Drops all entries before a time.
    pub fn prune_before(&mut self, from: Micros) {
        for times in [&mut self.arrivals, &mut self.retries] {
            while times.front().is_some_and(|at| *at < from) {
                times.pop_front();
            }
        }
    }
}

/// Queries that arrived and were rejected in the current period, and the fraction rejected in the last one.
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

/// Number of engine selections: in the current period, and as a moving average over periods.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct SelectionRate {
    pub this_period: f64,
    pub mean: f64,
}

/// Queries that wait for earlier queries of their key, by the token of the timer that admits them again.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct HeldQueries {
    pub timers: BTreeMap<u64, QueryId>,
    pub timers_set: u64,
}

impl HeldQueries {
    /// Holds a query and returns the token for its timer. Tokens start after `last_reserved`.
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
    /// Number of consecutive failed subscriptions.
    pub failures: u32,
    /// The tick at which to subscribe again, if a subscription is due.
    pub subscribe_at_tick: Option<u32>,
    /// Whether any endpoint list has been received.
    pub received: bool,
}

/// Moving averages over the load reports of all engines.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetLoad {
    /// Load in threads per core.
    pub mean_load: f64,
    /// When a load report was last received or an attempt was last in flight at a tick.
    pub last_report_at: Option<Micros>,
    /// Fraction of the memory granted.
    pub mean_memory: f64,
}

impl FleetLoad {
    /// Records a report of an engine, also in the averages over all engines, with the given weight.
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

/// Conditions over all engines that decide whether a query fits. Updated for each selection.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct FleetConditions {
    /// This gateway's share of an engine is below one query of the heaviest class.
    pub low_share: bool,
    /// The gateways share their load reports.
    pub reports_shared: bool,
    /// Mean work of the heaviest class, in thread-seconds.
    pub heaviest_work: f64,
    /// The usable part of all work limits that is not in flight, in thread-seconds.
    pub limit_headroom: f64,
    /// The fraction of queries that engines which are not overloaded may take without regard to the work
    /// limits.
    pub limit_exempt_fraction: f64,
    /// A random value from 0 to 1 for the current query.
    pub random_value: f64,
}

/// What completes on a busy core during the report lag, which is the time until the other gateways have acted
/// on a report.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct Completions {
    pub threads: f64,
    pub queries: f64,
}

/// Recent errors that a retry on another engine recovered, and those that repeated there.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct QueryErrors {
    pub recovered: f64,
    pub repeated: f64,
}
