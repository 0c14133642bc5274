//! The schedule of faults: which links have which faults, and when.

use crate::Fault;
use std::collections::BTreeSet;

/// A set of nodes.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum NodeSet {
    /// All nodes.
    All,
    /// The nodes with these numbers.
    Only(BTreeSet<usize>),
}

impl NodeSet {
    /// Whether a node is in the set.
    pub fn contains(&self, node: usize) -> bool {
        match self {
            NodeSet::All => true,
            NodeSet::Only(nodes) => nodes.contains(&node),
        }
    }
}

/// A fault of some links for some time, which may recur periodically. Times are in microseconds.
#[derive(Clone, Debug, PartialEq)]
pub struct ScheduledFault {
    /// The fault.
    pub fault: Fault,
    /// The senders of the affected links.
    pub from: NodeSet,
    /// The receivers of the affected links.
    pub to: NodeSet,
    /// Whether the links in the opposite direction are affected as well.
    pub bidirectional: bool,
    /// When the fault first starts.
    pub starts_at: i64,
    /// How long each repetition lasts.
    pub duration: i64,
    /// Time from the start of one repetition to the start of the next; zero if the fault does not recur.
    pub period: i64,
    /// Number of repetitions; zero counts as one.
    pub repetitions: u32,
}

impl ScheduledFault {
    /// Whether the fault is active at a time.
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

    /// Whether the fault affects a link.
    pub fn applies_to(&self, from: usize, to: usize) -> bool {
        (self.from.contains(from) && self.to.contains(to))
            || (self.bidirectional && self.from.contains(to) && self.to.contains(from))
    }

    /// When the last repetition ends.
    pub fn ends_at(&self) -> i64 {
        let later_repetitions = i64::from(self.repetitions.max(1)) - 1;
        self.starts_at + if self.period > 0 { later_repetitions * self.period } else { 0 } + self.duration
    }
}

/// All faults of a run.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct FaultSchedule(pub Vec<ScheduledFault>);

impl FaultSchedule {
    /// The fault of a link at a time: all active faults combined.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        let active = self.0.iter().filter(|entry| entry.is_active(now) && entry.applies_to(from, to));
        active.fold(Fault::default(), |combined, entry| combined.combine(entry.fault))
    }

    /// When the last fault ends; none if the schedule is empty.
    pub fn ends_at(&self) -> Option<i64> {
        self.0.iter().map(ScheduledFault::ends_at).max()
    }

    /// The schedule with all times moved by `offset`.
    pub fn shifted_by(mut self, offset: i64) -> FaultSchedule {
        self.0.iter_mut().for_each(|entry| entry.starts_at += offset);
        self
    }
}
