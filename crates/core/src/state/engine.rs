//! What is known of one engine.

use crate::interface::*;
use serde::{Deserialize, Serialize};
use std::collections::{BTreeSet, VecDeque};

/// One engine, grouped by concern.
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
    /// It was overloaded at some tick of this period.
    pub was_overloaded: bool,
    pub outlier: OutlierState,
    pub connections: ConnectionUse,
    pub slow_start: SlowStart,
    /// Groups of tables that it read last, the newest first.
    pub recent_tables: VecDeque<u64>,
}

/// The limit on our work in flight at an engine, which the fuzzy controller moves.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct WorkLimit {
    /// d_t, in thread-seconds.
    pub limit: f64,
    /// Where it starts, and returns to while nothing is sampled.
    pub initial: f64,
    /// The delay error of the last period with samples.
    pub last_error: Option<f64>,
    /// Delays of this period over their objectives, weighted by work.
    pub delay_sum: f64,
    /// The work that these delays are of.
    pub sampled_work: f64,
}

impl WorkLimit {
    /// Takes a delay, as a multiple of its latency objective, with the work it is weighted by.
    pub fn record_delay(&mut self, delay_in_objectives: f64, work: f64) {
        self.delay_sum += delay_in_objectives * work;
        self.sampled_work += work;
    }
}

/// Our attempts in flight at an engine.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct InFlight {
    /// Their estimated work, in thread-seconds.
    pub work: f64,
    pub threads: f64,
    pub attempts: BTreeSet<(QueryId, usize)>,
}

/// The latest load report, and what we sent since.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub struct LatestLoad {
    pub report: LoadReport,
    pub received_at: Option<Micros>,
    pub threads_sent_since: f64,
    /// Fraction of its memory that sends since the report want.
    pub memory_sent_since: f64,
}

/// Measured run time over the estimated one.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct Slowdown {
    /// Running mean.
    pub mean: f64,
    /// The best that the mean has been.
    pub best: f64,
}

/// The backoff after an engine rejected a query because it was full.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct FullBackoff {
    pub until: Micros,
    /// Length of the next backoff, as a multiple of the first.
    pub factor: i64,
}

/// Attempts in a row whose connection broke.
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
    /// After an ejection it gets one query at a time until one succeeds.
    pub half_open: bool,
}

/// How our connections to an engine were used.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct ConnectionUse {
    pub last_sent_at: Micros,
    /// Most attempts in flight at once since our connections last broke or were idle for too long.
    pub peak_open: usize,
    pub last_heard_at: Micros,
}

/// Slow start of an engine whose process started recently.
#[derive(Clone, Debug, Serialize, Deserialize)]
pub struct SlowStart {
    pub started_at: Option<Micros>,
    /// What was sent lately: when, and its work.
    pub sends: VecDeque<(Micros, f64)>,
}

impl LoadReport {
    /// Threads per core, as reported or estimated from the queries in flight.
    pub fn threads_per_core(&self, engine: &Engine) -> Option<f64> {
        self.utilisation.or(self.in_flight.map(|n| n * engine.mean_threads() / engine.cores))
    }
}

impl Engine {
    /// An engine of which nothing has been observed. `limit` is its initial work limit.
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

    /// Whether it takes work, by the endpoint list.
    pub fn is_up(&self) -> bool {
        self.entry.status == Status::Up
    }

    /// Whether nothing of ours is in flight there.
    pub fn is_idle(&self) -> bool {
        self.in_flight.attempts.is_empty()
    }

    /// Threads of an attempt in flight, on average and at least one.
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

    /// Releases the reservation of an attempt that ended; nothing if it was released before.
    pub fn release_reservation(&mut self, attempt: (QueryId, usize), work: f64, threads: f64) {
        if self.in_flight.attempts.remove(&attempt) {
            self.in_flight.work = (self.in_flight.work - work).max(0.0);
            self.in_flight.threads = (self.in_flight.threads - threads).max(0.0);
            self.latest_load.threads_sent_since = (self.latest_load.threads_sent_since - threads).max(0.0);
        }
    }

    /// The process was replaced: what was learned of the earlier one is dropped.
    pub fn reset_for_new_process(&mut self, started_at: Option<Micros>, now: Micros) {
        self.slow_start.started_at = started_at;
        self.recent_tables.clear();
        self.connections.peak_open = 0;
        self.outlier.failure_rate = 0.0;
        self.outlier.ejected_until = now;
        self.outlier.ejection_periods = 1;
        self.slowdown = Slowdown { mean: 1.0, best: 1.0 };
    }

    /// A report that differs from the last one is new: what was sent before it is included in it.
    pub(super) fn record_report(&mut self, now: Micros, report: LoadReport) {
        if report != self.latest_load.report {
            self.latest_load.threads_sent_since = 0.0;
            self.latest_load.memory_sent_since = 0.0;
            self.latest_load.report = report;
        }
        self.latest_load.received_at = Some(now);
    }
}

/// What an attempt takes at its engine.
#[derive(Clone, Copy, Debug)]
pub struct Reservation {
    /// Estimated work, in thread-seconds.
    pub work: f64,
    /// The work of a query of its class on average, by which slow start counts.
    pub slow_start_work: f64,
    pub threads: f64,
    /// Fraction of the engine's memory.
    pub memory: f64,
    /// All connections to the engine have been idle for too long: it is sent on a new one.
    pub connections_expired: bool,
}
