//! The fuzzy controller: moves an engine's work limit by the delay error and its change.

use crate::interface::Micros;
use crate::state::WorkLimit;

/// Levels of the nine fuzzy sets run from -`TOP_LEVEL` to `TOP_LEVEL` (NVL to PVL).
const TOP_LEVEL: i32 = 4;
/// The input sets span this fraction of a latency objective to either side.
const INPUT_SPAN: f64 = 0.5;
/// The limit starts at this gateway's share of so many threads a core times the longest latency objective.
const INITIAL_THREADS_PER_CORE: f64 = 2.0;
/// The ceiling of the limit (max-data in the paper), in initial limits.
const LIMIT_CEILING: f64 = 4.0;
/// The largest output centre, in ceilings.
const MAX_STEP: f64 = 0.125;
/// A time-out scores so many latency objectives.
pub(crate) const TIMEOUT_DELAY: f64 = 2.0;

/// The level of the output for the levels of the error and of its change: Table 2 in closed form.
pub fn rule_output(error: i32, change: i32) -> i32 {
    match error + change {
        sum if sum >= 5 => TOP_LEVEL,
        sum if sum <= -6 => -TOP_LEVEL,
        sum => sum.clamp(-3, 3),
    }
}

/// Membership of `x`, in steps between the centres of neighbouring sets, in the set of a level.
fn membership(x: f64, level: i32) -> f64 {
    (1.0 - (x.clamp(-f64::from(TOP_LEVEL), f64::from(TOP_LEVEL)) - f64::from(level)).abs()).max(0.0)
}

/// The output in levels for an error and its change, in objectives: minimum strength, centre of gravity.
pub fn fuzzy_output(error: f64, change: f64) -> f64 {
    let step = INPUT_SPAN / f64::from(TOP_LEVEL);
    let (mut weighted, mut total) = (0.0, 0.0);
    for i in -TOP_LEVEL..=TOP_LEVEL {
        for j in -TOP_LEVEL..=TOP_LEVEL {
            let strength = membership(error / step, i).min(membership(change / step, j));
            weighted += strength * f64::from(rule_output(i, j));
            total += strength;
        }
    }
    weighted / total
}

/// The initial limit for an engine of so many cores, in thread-seconds.
pub(crate) fn initial_limit(cores: f64, longest_objective: Micros, gateway_count: f64) -> f64 {
    INITIAL_THREADS_PER_CORE * cores * longest_objective.as_secs_f64() / gateway_count
}

impl WorkLimit {
    /// d_t(k) = d_t(k-1) + fuzzy output, clamped; an empty period steps back toward the initial limit.
    pub(crate) fn update(&mut self, was_overloaded: bool, samples_pending: bool) {
        let ceiling = LIMIT_CEILING * self.initial;
        let step = ceiling * MAX_STEP / f64::from(TOP_LEVEL);
        // Guards against wind-up: while the limit did not bind, short delays say nothing about it.
        if self.sampled_work > 0.0 && was_overloaded {
            let error = 1.0 - self.delay_sum / self.sampled_work;
            let change = error - self.last_error.unwrap_or(error);
            self.limit += fuzzy_output(error, change) * step;
            self.last_error = Some(error);
        } else if !samples_pending {
            self.limit += (self.initial - self.limit).clamp(-step, step);
            self.last_error = None;
        }
        self.limit = self.limit.clamp(0.0, ceiling);
        (self.delay_sum, self.sampled_work) = (0.0, 0.0);
    }
}
