//! Timers ordered by due time. Each has a key by which it can be cancelled.

use std::collections::BTreeMap;

/// Identifies a timer: its due time, and a sequence number that orders timers with the same due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(i64, u64);

/// Pending timers, ordered by due time, each with an event that is returned when it fires. Times are microseconds of the caller's
/// clock.
#[derive(Debug)]
pub struct Timers<T> {
    last_sequence: u64,
    pending: BTreeMap<TimerKey, T>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            last_sequence: 0,
            pending: BTreeMap::new(),
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer that is due at the time `at`, and returns its key.
    pub fn set(&mut self, at: i64, event: T) -> TimerKey {
        self.last_sequence += 1;
        let key = TimerKey(at, self.last_sequence);
        self.pending.insert(key, event);
        key
    }

    /// Cancels a timer and returns its event; `None` if it has already fired or been cancelled.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.pending.remove(&key)
    }

    /// Returns the due time of the next timer; `None` if no timer is pending.
    pub fn next_at(&self) -> Option<i64> {
        self.pending.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes the next timer if it is due, and returns its event. Timers with the same due time fire in the order in which
    /// they were set.
    pub fn pop_due(&mut self, now: i64) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.pending.pop_first().map(|(_, event)| event)
    }

    /// Returns the number of pending timers.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Returns whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
