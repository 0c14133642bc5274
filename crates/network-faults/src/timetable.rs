//! Which faults are on which roads, and when.

use crate::Fault;
use std::collections::BTreeSet;

/// Some of the parties.
#[derive(Clone, Debug, PartialEq, Eq)]
pub enum Parties {
    /// All of them.
    All,
    /// Those of these numbers.
    These(BTreeSet<usize>),
}

impl Parties {
    /// Whether one is among them.
    pub fn has(&self, party: usize) -> bool {
        match self {
            Parties::All => true,
            Parties::These(some) => some.contains(&party),
        }
    }
}

/// A fault on some roads for some time, maybe again and again.
#[derive(Clone, Debug, PartialEq)]
pub struct Entry {
    /// What is wrong,
    pub fault: Fault,
    /// on what is sent by these
    pub from: Parties,
    /// to those,
    pub to: Parties,
    /// and the other way as well.
    pub both: bool,
    /// From when on, in microseconds,
    pub at: i64,
    /// for so long,
    pub lasts: i64,
    /// again after so long from its last beginning,
    pub every: i64,
    /// so many times in all.
    pub times: u32,
}

impl Entry {
    /// Whether it is on at a time.
    pub fn on(&self, now: i64) -> bool {
        let since = now - self.at;
        if since < 0 {
            return false;
        }
        let (round, into) = match self.every {
            e if e > 0 => (since / e, since % e),
            _ => (0, since),
        };
        round < i64::from(self.times.max(1)) && into < self.lasts
    }

    /// Whether it is about a road.
    pub fn concerns(&self, from: usize, to: usize) -> bool {
        (self.from.has(from) && self.to.has(to)) || (self.both && self.from.has(to) && self.to.has(from))
    }

    /// When it is over for good.
    pub fn end(&self) -> i64 {
        let rounds = i64::from(self.times.max(1)) - 1;
        self.at + if self.every > 0 { rounds * self.every } else { 0 } + self.lasts
    }
}

/// All that goes wrong on roads.
#[derive(Clone, Debug, Default, PartialEq)]
pub struct Timetable(pub Vec<Entry>);

impl Timetable {
    /// What is wrong on a road at a time: all faults that are on it together.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        let on = self.0.iter().filter(|e| e.on(now) && e.concerns(from, to));
        on.fold(Fault::default(), |all, e| all.and(e.fault))
    }

    /// When the last of it is over; none if there is nothing.
    pub fn end(&self) -> Option<i64> {
        self.0.iter().map(Entry::end).max()
    }

    /// The same, by a clock that was at `zero` when this one was at 0.
    pub fn from(mut self, zero: i64) -> Timetable {
        self.0.iter_mut().for_each(|e| e.at += zero);
        self
    }
}
