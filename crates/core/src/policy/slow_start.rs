//! Slow start: limits what an engine whose process started recently gets from all gateways together.

use super::TICK_INTERVAL;
use crate::gateway::Gateway;
use crate::interface::{Micros, QueryId, SlowStartShare};
use crate::state::*;

/// Multiplier of the hash that selects the first gateway with a time slot at an engine.
const SLOT_HASH_MULTIPLIER: u64 = 0x9e37_79b9_7f4a_7c15;
/// Up to this number of gateways, the budget of an engine in slow start is always divided evenly.
const MAX_GATEWAYS_FOR_EVEN_SHARES: f64 = 8.0;
/// Fraction of an engine's estimated slow-start capacity that is used.
const USABLE_FRACTION: f64 = 0.9;

impl Gateway {
    /// The fraction of its capacity that an engine is certain to have.
    pub(crate) fn warmup_fraction(&self, engine: &Engine, now: Micros) -> f64 {
        let duration = self.settings.slow_start_duration.as_secs_f64().max(1e-3);
        let age = engine.slow_start.started_at.map(|started| (now - started).as_secs_f64() / duration);
        let initial_fraction = self.settings.slow_start_initial_fraction.clamp(0.0, 1.0);
        age.filter(|age| *age < 1.0)
            .map_or(1.0, |age| initial_fraction + (1.0 - initial_fraction) * 0.5 * age.max(0.0))
    }

    /// This gateway's budget at an engine in slow start. The budget is divided evenly, or into time slots
    /// where there are many gateways and a share would be below one query. With time slots half of the
    /// budget is used, because a window of the engine's overload limit may overlap two slots.
    pub(crate) fn slow_start_budget(&self, now: Micros, engine: &Engine) -> Option<SlowStartBudget> {
        let s = &self.settings;
        let warmup = self.warmup_fraction(engine, now);
        if warmup >= 1.0 || s.overload_multiple <= 0.0 {
            return None;
        }
        if self.may_have_been_spent(engine, now) {
            return Some(SlowStartBudget { work: 0.0, weight_multiplier: 1.0, by_time_slot: false });
        }
        let total_budget =
            s.overload_multiple * warmup * engine.cores * s.overload_window.as_secs_f64() * USABLE_FRACTION;
        let heaviest = self.conditions.heaviest_work;
        if total_budget / s.gateway_count >= heaviest || s.gateway_count <= MAX_GATEWAYS_FOR_EVEN_SHARES {
            return Some(SlowStartBudget {
                work: total_budget / s.gateway_count,
                weight_multiplier: 1.0,
                by_time_slot: false,
            });
        }
        let slots = (total_budget / 2.0 / heaviest).floor().max(1.0);
        Some(if self.owns_slot(engine, now, slots) {
            SlowStartBudget {
                work: total_budget / 2.0 / slots,
                weight_multiplier: s.gateway_count / slots,
                by_time_slot: true,
            }
        } else {
            SlowStartBudget { work: 0.0, weight_multiplier: 1.0, by_time_slot: true }
        })
    }

    /// Whether a former process of this gateway may have spent its budget at an engine within the current
    /// window: the engine was up when this process started, less than a window ago.
    fn may_have_been_spent(&self, engine: &Engine, now: Micros) -> bool {
        let uptime = Micros(TICK_INTERVAL.0 * i64::from(self.ticks));
        let age = engine.slow_start.started_at.map(|started| now - started);
        let was_up_before = age.is_some_and(|age| age >= uptime);
        uptime < self.settings.overload_window && was_up_before
    }

    /// Whether a query fits the slow-start budget of an engine. True if the engine is not in slow start.
    pub(crate) fn fits_slow_start(&self, now: Micros, query: &ActiveQuery, engine: &Engine) -> bool {
        let Some(budget) = self.slow_start_budget(now, engine) else { return true };
        let from = now - self.settings.overload_window;
        let sent: f64 =
            engine.slow_start.sends.iter().filter(|(at, _)| *at >= from).map(|(_, work)| work).sum();
        let work = self.mean_work(query.query.class).max(query.work.min(budget.work));
        sent + work <= budget.work
    }

    /// What a sent attempt counts for at its engine, and this gateway's current budget there. None if
    /// the engine is not in slow start or its budget is divided into time slots, where the unused half
    /// of the budget leaves room for late writes.
    ///
    /// For adapters that write an attempt some time after it was sent.
    pub fn slow_start_share(&self, now: Micros, id: QueryId, attempt: usize) -> Option<SlowStartShare> {
        let query = self.queries.get(&id)?;
        let engine = self.engines.get(&query.attempts.get(attempt)?.engine)?;
        let budget = self.slow_start_budget(now, engine).filter(|budget| !budget.by_time_slot)?.work;
        let work = self.mean_work(query.query.class).max(query.work.min(budget));
        Some(SlowStartShare { work, budget })
    }

    /// Whether this gateway has a time slot at an engine now. In each window `owners` gateways have one;
    /// their indexes are consecutive and start at a hash of the window and the engine.
    pub(crate) fn owns_slot(&self, engine: &Engine, now: Micros, owners: f64) -> bool {
        let window = self.settings.overload_window.0.max(1);
        let slot = ((now.0 / window) as u64).wrapping_add(engine.entry.engine.0);
        let first = slot.wrapping_mul(SLOT_HASH_MULTIPLIER) >> 32;
        (self.settings.gateway_index + first as f64).rem_euclid(self.settings.gateway_count) < owners
    }
}
