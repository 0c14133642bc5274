//! Timers ordered by due time, each with a key for its cancellation.

use std::collections::BTreeMap;

/// Identifies a timer: its due time, and a sequence number that orders timers with the same due time.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(i64, u64);

/// Pending timers, ordered by due time. Times are microseconds of the owner's clock.
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
    /// Sets a timer and returns its key.
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

    /// Due time of the next timer.
    pub fn next_at(&self) -> Option<i64> {
        self.pending.first_key_value().map(|(key, _)| key.0)
    }

    /// Removes the next timer if it is due, and returns its event.
    pub fn pop_due(&mut self, now: i64) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.pending.pop_first().map(|(_, event)| event)
    }

    /// Number of pending timers.
    pub fn len(&self) -> usize {
        self.pending.len()
    }

    /// Whether no timer is pending.
    pub fn is_empty(&self) -> bool {
        self.pending.is_empty()
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
