//! When executors started, by the clock of this process.
//!
//! The list states starts as Unix time of the platform, and this machine's wall clock may be wrong about that by any amount. So it
//! counts only where it agrees with what was observed: a start that a list states first lies between the time at which the list
//! known_starts was last confirmed, less the delay of a list, and now.
//!
//! Where it does not agree, and in the first list, known_starts which nothing was observed, starts are placed by the least difference seen
//! between a stated start and the time at which it was first listed: the offset of the platform's clock, and a little more. By it an
//! executor counts as started a little late, never early: in the first list, the one that started last counts as started just now,
//! and the others by how much earlier the list says they started.

use crate::bootstrap::ExecutorEndpoint;
use std::collections::BTreeMap;
use wheelfield::interface::Micros;

/// Time by which a list may tell of a start late, in microseconds: what the name service could not tell counts as told after 4.5 s at
/// the latest, and the list is polled four times a second.
const MAX_LIST_DELAY_US: i64 = 4_750_000;

/// A start that the list states, and when it was by this clock.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    platform_time: Micros,
    local_time: Micros,
}

/// The starts of all executors of the current list, by name.
#[derive(Debug, Default)]
pub struct StartTimes {
    by_name: BTreeMap<String, Start>,
    /// The least time by which this clock was ahead of a stated start when that was first seen, in microseconds.
    min_offset_us: Option<i64>,
}

impl StartTimes {
    /// Takes the executors of a list, received now; `confirmed_at` is when the list known_starts it was last confirmed, if there was one.
    /// Returns the start of each, in the same order; `None` for those that state none.
    pub fn update(
        &mut self,
        executors: &[ExecutorEndpoint],
        confirmed_at: Option<i64>,
        now: i64,
    ) -> Vec<Option<Micros>> {
        let known_starts = std::mem::take(&mut self.by_name);
        let known = |executor: &ExecutorEndpoint, platform_time: Micros| {
            let start = known_starts.get(&executor.name).copied();
            start.filter(|start| start.platform_time == platform_time)
        };
        for executor in executors {
            let new_start = executor
                .started_at
                .filter(|at| known(executor, *at).is_none());
            if let Some(platform_time) = new_start {
                let offset_us = now.saturating_sub(platform_time.0);
                self.min_offset_us =
                    Some(self.min_offset_us.map_or(offset_us, |o| o.min(offset_us)));
            }
        }
        let earliest_start = confirmed_at.map(|at| at - MAX_LIST_DELAY_US);
        executors
            .iter()
            .map(|executor| {
                let platform_time = executor.started_at?;
                let start = known(executor, platform_time).unwrap_or_else(|| Start {
                    platform_time,
                    local_time: self.to_local_time(platform_time, earliest_start, now),
                });
                self.by_name.insert(executor.name.clone(), start);
                Some(start.local_time)
            })
            .collect()
    }

    /// A stated start by this clock. One that would have been stated earlier, had it been then, is of a clock that was stepped, and
    /// counts as now.
    fn to_local_time(
        &self,
        platform_time: Micros,
        earliest_start: Option<i64>,
        now: i64,
    ) -> Micros {
        let offset_estimate = platform_time
            .0
            .saturating_add(self.min_offset_us.unwrap_or(0))
            .min(now);
        let Some(earliest_start) = earliest_start else {
            return Micros(offset_estimate);
        };
        let is_possible = |at: &i64| (earliest_start..=now).contains(at);
        // The wall clock first: where it agrees with what was observed, it is right within the delay of a list.
        let started_at = [platform_time.0, offset_estimate]
            .into_iter()
            .find(is_possible);
        Micros(started_at.unwrap_or(now))
    }
}

#[cfg(test)]
mod tests;
