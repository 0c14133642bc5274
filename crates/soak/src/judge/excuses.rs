//! What the judge passes over, and for how long: for a fault of the plan, or for a delay of the test itself.

use super::Invariant;
use std::collections::BTreeMap;
use std::fmt;

/// A run is conclusive if at most one in this many requests was excused.
const REQUESTS_PER_EXCUSE: usize = 100;

/// Why a violation was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
pub enum ExcuseReason {
    /// The process was killed by a fault.
    Killed,
    /// The process was killed soon after a suspension, before the answer was due.
    KilledAfterSuspension,
    /// The request was delayed until after the grace period for requests of a shutdown.
    ArrivedAfterGrace,
    /// Idle clients held all file descriptors.
    ShutOut,
    /// The request took so long to arrive that it was rejected as timed out.
    SlowArrival,
    /// The process was suspended, or could not accept, read or write.
    Blocked,
    /// Bytes were delayed on their way.
    DelayedBytes,
    /// The process did not end in time, as it was suspended or blocked.
    Overdue,
    /// A thread of the test itself was late.
    TestDelay,
}

/// A violation that was passed over.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct Excuse {
    /// The invariant.
    pub invariant: Invariant,
    /// Why it was passed over.
    pub reason: ExcuseReason,
    /// How much time was granted, in microseconds; 0 where the excuse is no span of time.
    pub granted_us: i64,
}

/// The excuses of a run.
#[derive(Clone, Debug, Default, PartialEq, Eq)]
pub struct Excuses(Vec<Excuse>);

/// Number and longest span of excuses of one kind.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ExcuseCount {
    /// Number of excuses.
    pub count: usize,
    /// The longest time that one of them granted, in microseconds.
    pub longest_us: i64,
}

impl Excuses {
    pub(super) fn push(&mut self, invariant: Invariant, reason: ExcuseReason, granted_us: i64) {
        self.0.push(Excuse {
            invariant,
            reason,
            granted_us,
        });
    }

    /// The number of all excuses.
    pub fn count(&self) -> usize {
        self.0.len()
    }

    /// The excuses by invariant and reason.
    pub fn by_kind(&self) -> BTreeMap<(Invariant, ExcuseReason), ExcuseCount> {
        let mut kinds: BTreeMap<(Invariant, ExcuseReason), ExcuseCount> = BTreeMap::new();
        for excuse in &self.0 {
            let kind = kinds.entry((excuse.invariant, excuse.reason)).or_default();
            kind.count += 1;
            kind.longest_us = kind.longest_us.max(excuse.granted_us);
        }
        kinds
    }

    /// Whether a run with this many requests says something about the controllers. One in which too much was passed over does not.
    pub fn are_few(&self, requests: usize) -> bool {
        self.count() * REQUESTS_PER_EXCUSE <= requests
    }
}

impl fmt::Display for Excuses {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{} excused", self.count())?;
        for ((invariant, reason), kind) in self.by_kind() {
            let longest_ms = kind.longest_us / 1_000;
            write!(
                f,
                "; {invariant} {reason:?} {} (up to {longest_ms} ms)",
                kind.count
            )?;
        }
        Ok(())
    }
}
