//! Which faults are on which roads, and when.

use crate::Fault;
use std::collections::BTreeSet;

/// Some of the parties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeSet {
    /// All of them.
    All,
    /// Those of these numbers.
    Only(BTreeSet<usize>),
}

impl NodeSet {
    /// Whether one is among them.
    pub fn contains(&self, node: usize) -> bool {
        match self {
            NodeSet::All => true,
            NodeSet::Only(nodes) => nodes.contains(&node),
        }
    }
}

/// A fault on some roads for some time, maybe again and again.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// What is wrong,
    pub fault: Fault,
    /// on what is sent by these
    pub from: NodeSet,
    /// to those,
    pub to: NodeSet,
    /// and the other way as well.
    pub bidirectional: bool,
    /// From when on, in microseconds,
    pub starts_at: i64,
    /// for so long,
    pub duration: i64,
    /// again after so long from its last beginning,
    pub period: i64,
    /// so many times in all.
    pub repetitions: u32,
}

impl ScheduledFault {
    /// Whether it is on at a time.
    pub fn is_active(&self, now: i64) -> bool {
        let since = now - self.starts_at;
        if since < 0 {
            return false;
        }
        let (repetition, elapsed) = match self.period {
            period if period > 0 => (since / period, since % period),
            _ => (0, since),
        };
        repetition < i64::from(self.repetitions.max(1)) && elapsed < self.duration
    }

    /// Whether it is about a road.
    pub fn applies_to(&self, from: usize, to: usize) -> bool {
        (self.from.contains(from) && self.to.contains(to))
            || (self.bidirectional && self.from.contains(to) && self.to.contains(from))
    }

    /// When it is over for good.
    pub fn ends_at(&self) -> i64 {
        let repetitions = i64::from(self.repetitions.max(1)) - 1;
        self.starts_at + if self.period > 0 { repetitions * self.period } else { 0 } + self.duration
    }
}

/// All that goes wrong on roads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule(pub Vec<ScheduledFault>);

impl FaultSchedule {
    /// What is wrong on a road at a time: all faults that are on it together.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        let active = self.0.iter().filter(|entry| entry.is_active(now) && entry.applies_to(from, to));
        active.fold(Fault::default(), |combined, entry| combined.combine(entry.fault))
    }

    /// When the last of it is over; none if there is nothing.
    pub fn ends_at(&self) -> Option<i64> {
        self.0.iter().map(ScheduledFault::ends_at).max()
    }

    /// The same, by a clock that was at `zero` when this one was at 0.
    pub fn shifted_by(mut self, offset: i64) -> FaultSchedule {
        self.0.iter_mut().for_each(|entry| entry.starts_at += offset);
        self
    }
}
