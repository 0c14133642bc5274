//! All decisions of wheelfield; events and actions stand in [`crate::interface`], records in `state`.
//!
//! The usual path is FZ-D: for each engine a fuzzy controller moves a limit on our estimated work in flight;
//! a query that fits under the limit of some engine is drawn to one, any other is rejected at once.

mod admission;
mod endpoint_list;
mod fuzzy;
mod health;
mod load;
mod retries;
mod sending;
mod slow_start;

pub use fuzzy::{fuzzy_output, rule_output};
pub(crate) use health::PROBE_ROUND_DURATION;
pub(crate) use load::initial_estimates;

use crate::interface::Micros;

/// The sampling period of the fuzzy controller.
const PERIOD: Micros = Micros(1_000_000);
/// State is reviewed so many times a period.
const TICKS_PER_PERIOD: u32 = 4;
pub(crate) const TICK_INTERVAL: Micros = Micros(PERIOD.0 / TICKS_PER_PERIOD as i64);
/// Tokens of the timers of ticks and of the end of a round of probes; larger ones belong to queries held.
pub(crate) const TICK_TOKEN: u64 = 0;
pub(crate) const PROBE_ROUND_TOKEN: u64 = 1;
/// Weight of the newest sample in running means of health and slowdown.
pub(crate) const EWMA_WEIGHT: f64 = 0.15;
