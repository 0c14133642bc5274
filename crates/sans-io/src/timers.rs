//! Timers by time, each with a key by which it can be cancelled.

use std::collections::BTreeMap;

/// Names a timer that was set.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub struct TimerKey(i64, u64);

/// Timers by time. Times are microseconds of whatever clock their owner has.
#[derive(Debug)]
pub struct Timers<T> {
    set: u64,
    waiting: BTreeMap<TimerKey, T>,
}

impl<T> Default for Timers<T> {
    fn default() -> Self {
        Timers {
            set: 0,
            waiting: BTreeMap::new(),
        }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: i64, event: T) -> TimerKey {
        self.set += 1;
        let key = TimerKey(at, self.set);
        self.waiting.insert(key, event);
        key
    }

    /// Cancels a timer; none if it went off before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.waiting.remove(&key)
    }

    /// When the next goes off.
    pub fn next_at(&self) -> Option<i64> {
        self.waiting.first_key_value().map(|(key, _)| key.0)
    }

    /// Takes the next timer that is due.
    pub fn pop_due(&mut self, now: i64) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.waiting.pop_first().map(|(_, event)| event)
    }

    /// How many timers are set.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Whether none is set.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
#[path = "timers_tests.rs"]
mod tests;
