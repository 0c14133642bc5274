//! Timers by time, each with a key by which it can be called off.

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
        Timers { set: 0, waiting: BTreeMap::new() }
    }
}

impl<T> Timers<T> {
    /// Sets a timer.
    pub fn set(&mut self, at: i64, what: T) -> TimerKey {
        self.set += 1;
        let key = TimerKey(at, self.set);
        self.waiting.insert(key, what);
        key
    }

    /// Calls a timer off; none if it went off before.
    pub fn cancel(&mut self, key: TimerKey) -> Option<T> {
        self.waiting.remove(&key)
    }

    /// When the next goes off.
    pub fn next_at(&self) -> Option<i64> {
        self.waiting.first_key_value().map(|(key, _)| key.0)
    }

    /// Takes one that has gone off by now.
    pub fn pop(&mut self, now: i64) -> Option<T> {
        self.next_at().filter(|at| *at <= now)?;
        self.waiting.pop_first().map(|(_, what)| what)
    }

    /// How many wait.
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// None waits.
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }
}

#[cfg(test)]
mod tests {
    use super::Timers;

    #[test]
    fn they_go_off_in_order_and_can_be_called_off() {
        let mut timers = Timers::default();
        timers.set(30, 'c');
        let b = timers.set(20, 'b');
        timers.set(10, 'a');
        timers.set(10, 'A');
        assert_eq!(timers.cancel(b), Some('b'));
        assert_eq!(timers.cancel(b), None);
        assert_eq!(timers.next_at(), Some(10));
        let gone: Vec<char> = std::iter::from_fn(|| timers.pop(29)).collect();
        assert_eq!(gone, ['a', 'A']);
        assert_eq!((timers.pop(30), timers.is_empty()), (Some('c'), true));
    }
}
