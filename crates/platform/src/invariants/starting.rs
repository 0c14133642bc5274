//! The starting invariant: a recently started executor gets no more requests than all controllers together may send to it.
//!
//! The limit is defined by the operators: N requests of mean work plus a margin, where N follows from the work that the settings
//! allow within the overload window. A controller that exceeds the limit on its own violates the rule; the requests of the other
//! controllers are not known here.

use std::collections::{BTreeMap, VecDeque};
use wheelfield::interface::{EngineId, Settings};

/// Below this number of requests the margin is wider.
const WIDE_MARGIN_MAX_REQUESTS: f64 = 30.0;
/// Weight of the newest query in the exponential moving average of the work.
const MEAN_WORK_SMOOTHING: f64 = 0.02;
/// Maximum number of sends to one executor that are tracked.
const MAX_TRACKED_SENDS: usize = 8_192;

/// The slow-start settings.
#[derive(Clone, Copy, Debug)]
pub struct SlowStartSettings {
    /// Fraction of its full capacity that an executor has when it starts.
    pub initial_fraction: f64,
    /// Time until an executor reaches its full capacity, in microseconds.
    pub duration_us: i64,
    /// Multiple of its capacity at which an executor fails; zero if overload does not make it fail.
    pub overload_multiple: f64,
    /// Time window over which the work is summed, in microseconds.
    pub window_us: i64,
}

impl SlowStartSettings {
    /// Extracts the slow-start settings.
    pub fn of(settings: &Settings) -> SlowStartSettings {
        SlowStartSettings {
            initial_fraction: settings.slow_start_initial_fraction.clamp(0.0, 1.0),
            duration_us: settings.slow_start_duration.0,
            overload_multiple: settings.overload_multiple,
            window_us: settings.overload_window.0,
        }
    }

    /// Maximum number of requests of this mean work within the window for an executor with this number of cores and age.
    fn max_requests(&self, cores: f64, age_us: i64, mean_work: f64) -> f64 {
        let age = age_us as f64 / self.duration_us.max(1) as f64;
        let fraction = self.initial_fraction + (1.0 - self.initial_fraction) * age.clamp(0.0, 1.0);
        let window = self.window_us as f64 / 1e6;
        let requests = self.overload_multiple * fraction * cores * window / mean_work.max(1e-6);
        if requests < WIDE_MARGIN_MAX_REQUESTS {
            requests + 3.0 * requests.sqrt() + 3.0
        } else {
            requests + 2.0 * requests.sqrt() + 2.0
        }
    }
}

/// A recently started executor.
#[derive(Debug)]
struct StartingExecutor {
    started_at: i64,
    cores: f64,
    /// Times of the sent attempts within the window, in microseconds.
    sends: VecDeque<i64>,
}

/// This controller alone sent more to an executor in slow start than all controllers together may send.
#[derive(Clone, Copy, Debug, PartialEq, Eq, thiserror::Error)]
#[error("{sent} attempts within the overload window to an executor {age_us} us after its start; all controllers together may send at most {limit}")]
pub struct StartingViolation {
    sent: usize,
    limit: u64,
    age_us: i64,
}

/// Counts the attempts sent to executors in slow start.
#[derive(Debug)]
pub struct SlowStartGuard {
    settings: SlowStartSettings,
    executors: BTreeMap<EngineId, StartingExecutor>,
    /// Mean work of a query in thread-seconds, from the estimates of the clients; `None` before the first estimate.
    mean_work: Option<f64>,
}

impl SlowStartGuard {
    /// Creates a guard without any known start.
    pub fn new(settings: SlowStartSettings) -> SlowStartGuard {
        SlowStartGuard {
            settings,
            executors: BTreeMap::new(),
            mean_work: None,
        }
    }

    /// Records that an executor with this number of cores started at `started_at`, as far as this controller knows.
    pub fn record_start(&mut self, engine: EngineId, started_at: i64, cores: f64, now: i64) {
        if now - started_at >= self.settings.duration_us {
            return;
        }
        let executor = self.executors.entry(engine).or_insert(StartingExecutor {
            started_at,
            cores,
            sends: VecDeque::new(),
        });
        if started_at >= executor.started_at {
            executor.started_at = started_at;
            executor.cores = cores;
        }
    }

    /// Records the estimated work of a query, in thread-seconds.
    pub fn record_work(&mut self, work: f64) {
        let mean = self.mean_work.unwrap_or(work);
        self.mean_work = Some(mean + MEAN_WORK_SMOOTHING * (work - mean));
    }

    /// Removes executors whose slow start is over.
    pub fn remove_warmed_up(&mut self, now: i64) {
        let duration = self.settings.duration_us;
        self.executors
            .retain(|_, executor| now - executor.started_at < duration);
    }

    /// Records an attempt whose first byte was written.
    ///
    /// # Errors
    /// The violation, if the attempt exceeds the limit.
    pub fn record_send(&mut self, engine: EngineId, now: i64) -> Result<(), StartingViolation> {
        let Some(executor) = self.executors.get_mut(&engine) else {
            return Ok(());
        };
        let age_us = now - executor.started_at;
        let window_start = now - self.settings.window_us;
        while executor.sends.front().is_some_and(|at| *at < window_start) {
            executor.sends.pop_front();
        }
        if executor.sends.len() < MAX_TRACKED_SENDS {
            executor.sends.push_back(now);
        }
        let Some(mean_work) = self
            .mean_work
            .filter(|_| self.settings.overload_multiple > 0.0)
        else {
            return Ok(());
        };
        let limit = self
            .settings
            .max_requests(executor.cores, age_us, mean_work);
        let sent = executor.sends.len();
        if age_us < self.settings.duration_us && sent as f64 > limit {
            return Err(StartingViolation {
                sent,
                limit: limit as u64,
                age_us,
            });
        }
        Ok(())
    }
}
