//! The policy: every decision that wheelfield takes. Events and actions are defined in
//! [`crate::interface`], stored records in `state`.
//!
//! The main algorithm is FZ-D: a fuzzy controller adjusts, for each engine, a limit on the estimated
//! work that this gateway has in flight there. A query that fits the limit of at least one engine is
//! routed by weighted random selection among the engines it fits; any other query is rejected at once.

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

/// The sampling period of the fuzzy controller. Durations in this module are given in these periods.
const PERIOD: Micros = Micros(1_000_000);
/// Number of ticks in a period. Each tick reviews the state of the gateway.
const TICKS_PER_PERIOD: u32 = 4;
pub(crate) const TICK_INTERVAL: Micros = Micros(PERIOD.0 / TICKS_PER_PERIOD as i64);
/// Tokens of the timers for the next tick and for the end of a probe round. Larger tokens belong to held
/// queries.
pub(crate) const TICK_TOKEN: u64 = 0;
pub(crate) const PROBE_ROUND_TOKEN: u64 = 1;
/// Weight of the newest sample in exponentially weighted moving averages.
pub(crate) const EWMA_WEIGHT: f64 = 0.15;
