//! Start times of executors, converted to the clock of this process.
//!
//! The list gives start times as Unix time by the platform's clock, and the clock of this machine may differ from it by any
//! amount. A listed time is therefore used unchanged only if it is consistent with what was observed: a start that appears in a
//! list for the first time lies between the last confirmation of the previous list, less the delay of a list, and now.
//!
//! If a listed time is not consistent, and in the first list, before which nothing was observed, it is converted by the minimum
//! difference seen so far between a listed start time and the time at which it was first received. This is the offset between the
//! clocks plus a small delay, so that an executor counts as started slightly late, but never early: in the first list, the last
//! executor to start counts as started just now, and the others as started earlier by the difference between the listed times.

use crate::bootstrap::ExecutorEndpoint;
use std::collections::BTreeMap;
use wheelfield::interface::Micros;

/// Maximum delay with which a list reports a start, in microseconds: a change that the name service could not publish counts as
/// published after 4.5 s at the latest, and the list is polled four times per second.
const MAX_LIST_DELAY_US: i64 = 4_750_000;

/// The start of an executor in both clocks.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
struct Start {
    /// The listed start time, by the platform's clock.
    platform_time: Micros,
    /// The start time by the clock of this process.
    local_time: Micros,
}

/// The start times of all executors in the current list, by name.
#[derive(Debug, Default)]
pub struct StartTimes {
    by_name: BTreeMap<String, Start>,
    /// The minimum difference between the time at which a start was first received and its listed time, in microseconds.
    min_offset_us: Option<i64>,
}

impl StartTimes {
    /// Updates the start times from a list received at `now`; `confirmed_at` is the time at which the previous list was last
    /// confirmed, if there was one. Returns the start time of each executor in the order of the list; `None` for those without a
    /// listed start.
    pub fn update(
        &mut self,
        executors: &[ExecutorEndpoint],
        confirmed_at: Option<i64>,
        now: i64,
    ) -> Vec<Option<Micros>> {
        let known_starts = std::mem::take(&mut self.by_name);
        let known_start = |executor: &ExecutorEndpoint, platform_time: Micros| {
            let start = known_starts.get(&executor.name).copied();
            start.filter(|start| start.platform_time == platform_time)
        };
        for executor in executors {
            let new_start = executor
                .started_at
                .filter(|at| known_start(executor, *at).is_none());
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
                let start = known_start(executor, platform_time).unwrap_or_else(|| Start {
                    platform_time,
                    local_time: self.to_local_time(platform_time, earliest_start, now),
                });
                self.by_name.insert(executor.name.clone(), start);
                Some(start.local_time)
            })
            .collect()
    }

    /// Converts a listed start time to the clock of this process. If neither the listed nor the converted time is possible, because
    /// such a start would have been listed earlier, the platform's clock was stepped, and the start counts as now.
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
        // The listed time is tried first: if it is consistent with what was observed, it is accurate to within the delay of a list.
        let started_at = [platform_time.0, offset_estimate]
            .into_iter()
            .find(is_possible);
        Micros(started_at.unwrap_or(now))
    }
}

#[cfg(test)]
mod tests;
