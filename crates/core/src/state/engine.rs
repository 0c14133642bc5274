//! The state that a gateway keeps for each engine.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// One engine, with its state grouped by concern.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Engine {
    pub entry: EngineEntry,
    pub cores: f64,
    pub memory_mb: f64,
    pub work_limit: WorkLimit,
    pub in_flight: InFlight,
    pub latest_load: LatestLoad,
    pub slowdown: Slowdown,
    pub full_backoff: FullBackoff,
    pub connection_breaks: ConnectionBreaks,
    /// The engine was overloaded at some tick of the current period.
    pub was_overloaded: bool,
    pub outlier: OutlierState,
    pub connections: ConnectionUse,
    pub slow_start: SlowStart,
    /// Identifiers of the table groups that its queries read most recently, newest first.
    pub recent_tables: VecDeque<u64>,
}

/// The limit on the work that this gateway has in flight at an engine. The fuzzy controller adjusts it.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkLimit {
    /// The current limit in thread-seconds (d_t in the paper).
    pub limit: f64,
    /// The initial limit, to which it returns after periods without samples.
    pub initial: f64,
    /// The delay error of the last period that had samples.
    pub last_error: Option<f64>,
    /// Sum of the delays in the current period, as multiples of their objectives, weighted by work.
    pub delay_sum: f64,
    /// Sum of the weights in `delay_sum`, in thread-seconds.
    pub sampled_work: f64,
}

impl WorkLimit {
    /// Adds a delay, as a multiple of its latency objective, weighted by the work of the attempt.
    pub fn record_delay(&mut self, delay_in_objectives: f64, work: f64) {
        self.delay_sum += delay_in_objectives * work;
        self.sampled_work += work;
    }
}

/// This gateway's attempts in flight at an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InFlight {
    /// Sum of their estimated work, in thread-seconds.
    pub work: f64,
    pub threads: f64,
    pub attempts: BTreeSet<(QueryId, usize)>,
}

/// The latest load report, and what this gateway sent since then.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LatestLoad {
    pub report: LoadReport,
    pub received_at: Option<Micros>,
    pub threads_sent_since: f64,
    /// Estimated need of the queries sent since the report, as a fraction of the engine's memory.
    pub memory_sent_since: f64,
}

/// Measured run time divided by the estimated run time.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slowdown {
    /// Moving average.
    pub mean: f64,
    /// Lowest value of the mean. It drifts upward while the mean is above it.
    pub best: f64,
}

/// The backoff after an engine rejected a query because it was full.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FullBackoff {
    pub until: Micros,
    /// Length of the next backoff, as a multiple of the first.
    pub factor: i64,
}

/// Consecutive attempts whose connection broke.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionBreaks {
    pub consecutive: u32,
    pub last_at: Micros,
}

/// Outlier detection: how often attempts fail, and whether the engine is ejected.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct OutlierState {
    pub failure_rate: f64,
    pub ejected_until: Micros,
    /// Length of the next ejection, in periods.
    pub ejection_periods: u32,
    /// The ejection is over, but no query has succeeded since: the engine gets one query at a time.
    pub half_open: bool,
}

/// How this gateway's connections to an engine were used.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionUse {
    pub last_sent_at: Micros,
    /// Maximum number of attempts in flight at once since the connections last broke or were closed as idle:
    /// an estimate of the number of open connections.
    pub peak_open: usize,
    pub last_heard_at: Micros,
}

/// Slow start of an engine whose process started recently.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlowStart {
    pub started_at: Option<Micros>,
    /// Recently sent attempts: the time, and the work of each.
    pub sends: VecDeque<(Micros, f64)>,
}

impl LoadReport {
    /// Threads per core, as reported or estimated from the number of queries in flight.
    pub fn threads_per_core(&self, engine: &Engine) -> Option<f64> {
        self.utilisation.or(self.in_flight.map(|n| n * engine.mean_threads() / engine.cores))
    }
}

impl Engine {
    /// Creates an engine without any observations. `limit` is its initial work limit.
    pub fn new(entry: EngineEntry, cores: f64, memory_mb: f64, limit: f64) -> Self {
        Engine {
            entry,
            cores,
            memory_mb,
            work_limit: WorkLimit {
                limit,
                initial: limit,
                last_error: None,
                delay_sum: 0.0,
                sampled_work: 0.0,
            },
            in_flight: InFlight::default(),
            latest_load: LatestLoad::default(),
            slowdown: Slowdown { mean: 1.0, best: 1.0 },
            full_backoff: FullBackoff { until: Micros(i64::MIN), factor: 1 },
            connection_breaks: ConnectionBreaks { consecutive: 0, last_at: Micros(0) },
            was_overloaded: false,
            outlier: OutlierState {
                failure_rate: 0.0,
                ejected_until: Micros(i64::MIN),
                ejection_periods: 1,
                half_open: false,
            },
            connections: ConnectionUse { last_sent_at: Micros(0), peak_open: 0, last_heard_at: Micros(0) },
            slow_start: SlowStart { started_at: None, sends: VecDeque::new() },
            recent_tables: VecDeque::new(),
        }
    }

    /// Whether the endpoint list says that it accepts queries.
    pub fn is_up(&self) -> bool {
        self.entry.status == Status::Up
    }

    /// Whether this gateway has no attempts in flight there.
    pub fn is_idle(&self) -> bool {
        self.in_flight.attempts.is_empty()
    }

    /// When it was last sent a query, heard of or started, as far as this gateway knows.
    pub fn last_used_at(&self) -> Micros {
        let connections = self.connections.last_sent_at.max(self.connections.last_heard_at);
        connections.max(self.slow_start.started_at.unwrap_or(connections))
    }

    /// Mean number of threads of the attempts in flight, at least 1.
    pub fn mean_threads(&self) -> f64 {
        if self.is_idle() {
            1.0
        } else {
            (self.in_flight.threads / self.in_flight.attempts.len() as f64).max(1.0)
        }
    }

    /// Reserves capacity for an attempt that is being sent.
    pub fn reserve(&mut self, now: Micros, reservation: &Reservation) {
        let open = self.in_flight.attempts.len();
        if open == 1 {
            self.connections.last_heard_at = now;
        }
        let peak_open = if reservation.connections_expired { 0 } else { self.connections.peak_open };
        self.connections.peak_open = peak_open.max(open);
        self.connections.last_sent_at = now;
        self.in_flight.work += reservation.work;
        self.in_flight.threads += reservation.threads;
        self.latest_load.threads_sent_since += reservation.threads;
        self.latest_load.memory_sent_since += reservation.memory;
        self.slow_start.sends.push_back((now, reservation.slow_start_work));
    }

    /// Releases the reservation of an attempt that ended. Does nothing if it was released before.
    pub fn release_reservation(&mut self, attempt: (QueryId, usize), work: f64, threads: f64) {
        if self.in_flight.attempts.remove(&attempt) {
            self.in_flight.work = (self.in_flight.work - work).max(0.0);
            self.in_flight.threads = (self.in_flight.threads - threads).max(0.0);
            self.latest_load.threads_sent_since = (self.latest_load.threads_sent_since - threads).max(0.0);
        }
    }

    /// Drops what was learned about an earlier process of the engine.
    pub fn reset_for_new_process(&mut self, started_at: Option<Micros>, now: Micros) {
        self.slow_start.started_at = started_at;
        self.recent_tables.clear();
        self.connections.peak_open = 0;
        self.outlier.failure_rate = 0.0;
        self.outlier.ejected_until = now;
        self.outlier.ejection_periods = 1;
        self.slowdown = Slowdown { mean: 1.0, best: 1.0 };
    }

    /// Records a load report. A report that differs from the last one is new and includes everything sent
    /// before it.
    pub(super) fn record_report(&mut self, now: Micros, report: LoadReport) {
        if report != self.latest_load.report {
            self.latest_load.threads_sent_since = 0.0;
            self.latest_load.memory_sent_since = 0.0;
            self.latest_load.report = report;
        }
        self.latest_load.received_at = Some(now);
    }
}

/// The capacity that an attempt reserves at its engine.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// Estimated work, in thread-seconds.
    pub work: f64,
    /// The work that counts against a slow-start budget: the estimate, raised to the mean of the class.
    pub slow_start_work: f64,
    pub threads: f64,
    /// Fraction of the engine's memory.
    pub memory: f64,
    /// All connections to the engine were idle for too long, so the attempt needs a new one.
    pub connections_expired: bool,
}
