//! Timers of the module and of attempts, by time; those due at once go off in the order in which they were set.

use crate::AttemptId;
use serde::{Deserialize, Serialize};
use std::collections::BTreeMap;
use wheelfield::interface::Micros;

/// What a timer is for.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Serialize, Deserialize)]
pub(crate) enum TimerKind {
    /// The module asked for it, with this token.
    Module(u64),
    /// The time of an attempt is up.
    AttemptTimeout(AttemptId),
    /// The cancellation of an attempt was not confirmed in time.
    CancelUnconfirmed(AttemptId),
}

/// Names a timer: when it is due, and a number in the order of setting.
pub(crate) type TimerKey = (Micros, u64);

/// The timers that are set.
#[derive(Clone, Debug, Default, Serialize, Deserialize)]
pub(crate) struct Timers {
    waiting: BTreeMap<TimerKey, TimerKind>,
    set: u64,
}

impl Timers {
    pub fn set(&mut self, at: Micros, kind: TimerKind) -> TimerKey {
        self.set += 1;
        let key = (at, self.set);
        self.waiting.insert(key, kind);
        key
    }

    pub fn cancel(&mut self, key: TimerKey) {
        self.waiting.remove(&key);
    }

    pub fn get(&self, key: TimerKey) -> Option<TimerKind> {
        self.waiting.get(&key).copied()
    }

    /// Removes the earliest timer of the module with this token; false if there is none.
    pub fn take_module_timer(&mut self, token: u64) -> bool {
        let found = self
            .waiting
            .iter()
            .find(|(_, kind)| **kind == TimerKind::Module(token));
        let key = found.map(|(key, _)| *key);
        key.is_some_and(|key| self.waiting.remove(&key).is_some())
    }

    pub fn next_at(&self) -> Option<Micros> {
        self.waiting.first_key_value().map(|((at, _), _)| *at)
    }

    /// Removes and returns what is due, in order. What is set from now on waits for the next call.
    pub fn take_due(&mut self, now: Micros) -> Vec<TimerKind> {
        let later = self.waiting.split_off(&(now + Micros(1), 0));
        std::mem::replace(&mut self.waiting, later)
            .into_values()
            .collect()
    }
}
