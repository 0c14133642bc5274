//! The numbers by which the policy knows executors.
//!
//! A new process may come up under the name and the address of one that has gone, but in another place: another zone, kind of machine
//! or cell. What is known of the former process, and above all where its attempts may have run, is not true of the new one, so that the
//! policy must know it as another engine.

use crate::bootstrap::ExecutorEndpoint;
use std::collections::BTreeMap;
use wheelfield::interface::EngineId;
use wheelfield_settings::engine_id;

/// Time for which the place of an executor is remembered after it was last listed, in microseconds. It is longer than any query takes,
/// so that no attempt at the former process is left.
const MEMORY_US: i64 = 2 * 3_600_000_000;
/// Maximum number of executors that are remembered although they are not listed; beyond that, those are forgotten first that were last
/// listed longest ago.
const MAX_UNLISTED: usize = 1_024;

/// Where an executor runs.
#[derive(Clone, Debug, PartialEq, Eq)]
struct Place {
    zone: String,
    kind: String,
    cell: i64,
}

impl Place {
    fn of(executor: &ExecutorEndpoint) -> Place {
        Place {
            zone: executor.zone.clone(),
            kind: executor.kind.clone(),
            cell: executor.cell,
        }
    }
}

/// What is remembered of an executor.
#[derive(Clone, Debug)]
struct KnownExecutor {
    /// The place in which it was listed first.
    first_place: Place,
    /// Time at which it was last listed, in microseconds.
    listed_at: i64,
}

/// The numbers of all executors that are or were listed lately, by name.
#[derive(Debug, Default)]
pub struct EngineIdentities {
    by_name: BTreeMap<String, KnownExecutor>,
}

impl EngineIdentities {
    /// Returns the numbers of the executors of a list received at `now`, in their order. The number follows from the name, and in
    /// another place than the first one from the place as well, so that all controllers that have seen the change use the same.
    pub fn update(&mut self, executors: &[ExecutorEndpoint], now: i64) -> Vec<EngineId> {
        let engines = executors
            .iter()
            .map(|executor| self.identify(executor, now))
            .collect();
        self.forget(now);
        engines
    }

    fn identify(&mut self, executor: &ExecutorEndpoint, now: i64) -> EngineId {
        let place = Place::of(executor);
        let known = self
            .by_name
            .entry(executor.name.clone())
            .or_insert_with(|| KnownExecutor {
                first_place: place.clone(),
                listed_at: now,
            });
        known.listed_at = now;
        if known.first_place == place {
            engine_id(&executor.name)
        } else {
            engine_id(&name_in_place(&executor.name, &place))
        }
    }

    /// Forgets executors that have not been listed for long, or are too many.
    fn forget(&mut self, now: i64) {
        self.by_name
            .retain(|_, known| now - known.listed_at <= MEMORY_US);
        let unlisted = self.by_name.iter();
        let unlisted = unlisted.filter(|(_, known)| known.listed_at < now);
        let mut by_age: Vec<(i64, String)> = unlisted
            .map(|(name, known)| (known.listed_at, name.clone()))
            .collect();
        by_age.sort_unstable();
        let excess = by_age.len().saturating_sub(MAX_UNLISTED);
        for (_, name) in by_age.into_iter().take(excess) {
            self.by_name.remove(&name);
        }
    }
}

/// A text that no other executor has as its name: names have no spaces.
fn name_in_place(name: &str, place: &Place) -> String {
    let Place { zone, kind, cell } = place;
    format!("{name} {zone} {kind} {cell}")
}

#[cfg(test)]
mod tests;
