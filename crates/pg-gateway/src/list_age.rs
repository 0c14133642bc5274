//! Whether new queries wait for the list of a registry that is polled.
//!
//! A list is as old as the interval of the calls, as a rule. After the process was suspended it is as much older, and nobody was
//! asked meanwhile: new queries wait until the call that is made then has come to an end, for a bounded time. A registry that is
//! watched tells of changes by itself, and what it told is read before the queries that came meanwhile.

use wheelfield_config::{Config, Refresh};

/// A process that serves takes a turn at least once a second, in microseconds.
const TURN_INTERVAL_US: i64 = 1_000_000;
/// One that took none for this much longer was suspended or starved.
const MAX_LATENESS_US: i64 = 300_000;
/// For how long new queries wait at most, in microseconds; after that they go by the last list.
const MAX_WAIT_US: i64 = 1_000_000;

/// The age of the list, as far as this process is the cause of it; times in microseconds.
#[derive(Debug)]
pub(crate) struct ListAge {
    is_polled: bool,
    last_active_at: i64,
    wait_until: i64,
}

impl ListAge {
    /// That of a process that begins to serve.
    pub fn new(config: &Config, now: i64) -> ListAge {
        let registry = config.registry.as_ref();
        ListAge {
            is_polled: registry.is_some_and(|registry| registry.refresh == Refresh::Poll),
            last_active_at: now,
            wait_until: now,
        }
    }

    /// Notes that the process is active. Returns until when new queries wait at most for the registry, which is to be asked now, if
    /// the process was not active for long.
    pub fn note_activity(&mut self, now: i64) -> Option<i64> {
        let inactive_us = now - self.last_active_at;
        self.last_active_at = now;
        if !self.is_polled || inactive_us <= TURN_INTERVAL_US + MAX_LATENESS_US {
            return None;
        }
        self.wait_until = now + MAX_WAIT_US;
        Some(self.wait_until)
    }

    /// Whether new queries wait if the registry has not answered yet.
    pub fn is_waited_for(&self, now: i64) -> bool {
        now < self.wait_until
    }
}
