//! The fuzzy controller: adjusts the work limit of an engine by the delay error and the change of that
//! error.

use crate::interface::Micros;
use crate::state::WorkLimit;

/// Levels of the nine fuzzy sets run from -`TOP_LEVEL` (NVL) to `TOP_LEVEL` (PVL).
const TOP_LEVEL: i32 = 4;
/// The input sets span this fraction of a latency objective in each direction.
const INPUT_SPAN: f64 = 0.5;
/// The initial limit is this gateway's share of this many threads per core times the longest latency
/// objective.
const INITIAL_THREADS_PER_CORE: f64 = 2.0;
/// The ceiling of the limit (max-data in the paper) as a multiple of the initial limit.
const LIMIT_CEILING: f64 = 4.0;
/// The centre of the largest output set as a fraction of the ceiling.
const MAX_STEP: f64 = 0.125;
/// Delay recorded for an attempt that timed out or was cancelled, as a multiple of its latency
/// objective.
pub(crate) const TIMEOUT_DELAY: f64 = 2.0;

/// The output level for the levels of the error and of its change: Table 2 of the paper in closed form.
pub fn rule_output(error: i32, change: i32) -> i32 {
    match error + change {
        sum if sum >= 5 => TOP_LEVEL,
        sum if sum <= -6 => -TOP_LEVEL,
        sum => sum.clamp(-3, 3),
    }
}

/// Membership of `x` in the fuzzy set of a level. `x` is in units of the distance between neighbouring
/// centres.
fn membership(x: f64, level: i32) -> f64 {
    (1.0 - (x.clamp(-f64::from(TOP_LEVEL), f64::from(TOP_LEVEL)) - f64::from(level)).abs()).max(0.0)
}

/// The output, in levels, for an error and its change in latency objectives. Rules are combined by the
/// minimum and defuzzified by the centre of gravity.
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

/// The initial work limit for an engine with this many cores, in thread-seconds.
pub(crate) fn initial_limit(cores: f64, longest_objective: Micros, gateway_count: f64) -> f64 {
    INITIAL_THREADS_PER_CORE * cores * longest_objective.as_secs_f64() / gateway_count
}

impl WorkLimit {
    /// Updates the limit at the end of a period: d_t(k) = d_t(k-1) + fuzzy output, clamped to the
    /// ceiling. After a period without samples the limit moves one step back toward its initial value.
    pub(crate) fn update(&mut self, was_overloaded: bool, samples_pending: bool) {
        let ceiling = LIMIT_CEILING * self.initial;
        let step = ceiling * MAX_STEP / f64::from(TOP_LEVEL);
        // Prevents integrator windup: while the limit does not bind, short delays say nothing about it.
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
