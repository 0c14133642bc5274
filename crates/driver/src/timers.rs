//! Timers of the policy module and of attempts, ordered by due time and then by the order in which they were set.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield::interface::Micros;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum TimerKind {
    /// Set by the policy module, which identifies it by this token.
    Module(u64),
    /// Timeout of an attempt.
    AttemptTimeout(AttemptId),
    /// Limit for the confirmation of a cancelled attempt.
    CancelUnconfirmed(AttemptId),
}

/// Identifies a timer: its due time, and a sequence number that orders timers with the same due time.
pub(crate) type TimerKey = (Micros, u64);

/// Pending timers.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Timers {
    pending: BTreeMap<TimerKey, TimerKind>,
    last_sequence: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, kind: TimerKind) -> TimerKey {
        self.last_sequence += 1;
        let key = (at, self.last_sequence);
        self.pending.insert(key, kind);
        key
    }

    pub fn cancel(&mut self, key: TimerKey) {
        self.pending.remove(&key);
    }

    pub fn get(&self, key: TimerKey) -> Option<TimerKind> {
        self.pending.get(&key).copied()
    }

    /// Removes the earliest timer of the policy module that has this token. Returns false if there is none.
    pub fn take_module_timer(&mut self, token: u64) -> bool {
        let found = self
            .pending
            .iter()
            .find(|(_, kind)| **kind == TimerKind::Module(token));
        let key = found.map(|(key, _)| *key);
        key.is_some_and(|key| self.pending.remove(&key).is_some())
    }

    pub fn next_at(&self) -> Option<Micros> {
        self.pending.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns the timers that are due, in order. A timer that is set while they are handled is left to the next
    /// call, even if it is already due.
    pub fn take_due(&mut self, now: Micros) -> Vec<TimerKind> {
        let later = self.pending.split_off(&(now + Micros(1), 0));
        std::mem::replace(&mut self.pending, later)
            .into_values()
            .collect()
    }
}
