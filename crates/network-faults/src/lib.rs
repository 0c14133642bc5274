//! Faults between parties. Each ordered pair of them is a road of its own: what is sent on it comes late, twice, spoilt or never,
//! by a [`Timetable`] of faults and by chance drawn from a seed for that pair alone.
//!
//! One model: the laboratory's virtual network and its relay between real processes both play it. No I/O, no clock, no globals;
//! times are microseconds of whatever clock the caller keeps.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod timetable;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
use std::collections::BTreeMap;
pub use timetable::{Entry, Parties, Timetable};

/// What is wrong with a road.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub cut: bool,
    /// The chance that what is sent is lost.
    pub loss: f64,
    /// It comes so much later, in microseconds,
    pub delay: i64,
    /// and up to so much later than that: what is sent later may come sooner.
    pub jitter: i64,
    /// The chance that it comes twice.
    pub doubled: f64,
    /// The chance that one of its bits is turned over.
    pub corrupt: f64,
    /// Bytes a second that pass; zero for any number.
    pub rate: u64,
    /// Bytes that wait where the rate binds; what would be more is lost.
    pub queue: u64,
}

impl Fault {
    /// Both at once.
    pub fn and(self, other: Fault) -> Fault {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let (rate, queue) = match (self.rate, other.rate) {
            (0, _) => (other.rate, other.queue),
            (_, 0) => (self.rate, self.queue),
            (a, b) => (a.min(b), self.queue.min(other.queue)),
        };
        Fault {
            cut: self.cut || other.cut,
            loss: either(self.loss, other.loss),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            doubled: either(self.doubled, other.doubled),
            corrupt: either(self.corrupt, other.corrupt),
            rate,
            queue,
        }
    }
}

/// What came of all that was sent on a road.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct Counts {
    /// Datagrams sent,
    pub sent: u64,
    /// and their bytes.
    pub bytes: u64,
    /// Lost by a cut,
    pub cut: u64,
    /// by chance,
    pub lost: u64,
    /// for want of room where the rate binds.
    pub crowded: u64,
    /// Come twice.
    pub doubled: u64,
    /// Spoilt.
    pub corrupted: u64,
}

impl Counts {
    /// The sum of both.
    pub fn and(self, other: Counts) -> Counts {
        Counts {
            sent: self.sent + other.sent,
            bytes: self.bytes + other.bytes,
            cut: self.cut + other.cut,
            lost: self.lost + other.lost,
            crowded: self.crowded + other.crowded,
            doubled: self.doubled + other.doubled,
            corrupted: self.corrupted + other.corrupted,
        }
    }
}

/// A datagram that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Arrival {
    /// When.
    pub at: i64,
    /// With which bytes.
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
struct Road {
    chance: Pcg64Mcg,
    /// Where the rate binds: when the last of what waits has passed.
    free_at: i64,
    counts: Counts,
}

/// All roads between parties, numbered from 0.
#[derive(Debug)]
pub struct Roads {
    timetable: Timetable,
    seed: u64,
    /// Made when first used: of 180 parties few pairs ever speak.
    roads: BTreeMap<(usize, usize), Road>,
}

impl Roads {
    /// Roads without faults but those of the timetable. The same timetable, seed and sendings give the same arrivals.
    pub fn new(timetable: Timetable, seed: u64) -> Roads {
        Roads { timetable, seed, roads: BTreeMap::new() }
    }

    /// What is wrong on a road at a time.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        self.timetable.fault(from, to, now)
    }

    /// Takes what is sent on a road, and tells when it arrives and how: not at all, once or twice.
    pub fn carry(&mut self, from: usize, to: usize, now: i64, bytes: &[u8]) -> Vec<Arrival> {
        let fault = self.timetable.fault(from, to, now);
        // A road's chance is its own: what others send moves nothing on it.
        let seed = self.seed ^ ((from as u64) << 32 | to as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let road = self.roads.entry((from, to)).or_insert_with(|| Road {
            chance: Pcg64Mcg::seed_from_u64(seed),
            free_at: i64::MIN,
            counts: Counts::default(),
        });
        road.carry(fault, now, bytes)
    }

    /// What came of all that was sent on a road.
    pub fn counts(&self, from: usize, to: usize) -> Counts {
        self.roads.get(&(from, to)).map_or(Counts::default(), |r| r.counts)
    }

    /// The same over all roads from a party.
    pub fn counts_from(&self, from: usize) -> Counts {
        let of = self.roads.range((from, 0)..=(from, usize::MAX));
        of.fold(Counts::default(), |sum, (_, r)| sum.and(r.counts))
    }
}

impl Road {
    fn carry(&mut self, fault: Fault, now: i64, bytes: &[u8]) -> Vec<Arrival> {
        self.counts.sent += 1;
        self.counts.bytes += bytes.len() as u64;
        if fault.cut {
            self.counts.cut += 1;
            return Vec::new();
        }
        if self.happens(fault.loss) {
            self.counts.lost += 1;
            return Vec::new();
        }
        let Some(passed) = self.passes(fault, now, bytes.len() as u64) else {
            self.counts.crowded += 1;
            return Vec::new();
        };
        let copies = 1 + usize::from(self.happens(fault.doubled));
        self.counts.doubled += copies as u64 - 1;
        (0..copies)
            .map(|_| {
                let jitter = if fault.jitter > 0 { self.chance.random_range(0..=fault.jitter) } else { 0 };
                let mut bytes = bytes.to_vec();
                if !bytes.is_empty() && self.happens(fault.corrupt) {
                    let bit = self.chance.random_range(0..bytes.len() * 8);
                    bytes[bit / 8] ^= 1 << (bit % 8);
                    self.counts.corrupted += 1;
                }
                Arrival { at: passed + fault.delay + jitter, bytes }
            })
            .collect()
    }

    fn happens(&mut self, chance: f64) -> bool {
        chance > 0.0 && self.chance.random::<f64>() < chance
    }

    /// When so many bytes have passed where the rate binds; none if too many wait before them.
    fn passes(&mut self, fault: Fault, now: i64, length: u64) -> Option<i64> {
        if fault.rate == 0 {
            return Some(now);
        }
        let begins = self.free_at.max(now);
        let waiting = (begins - now) as f64 * fault.rate as f64 / 1e6;
        if waiting + length as f64 > fault.queue as f64 {
            return None;
        }
        self.free_at = begins + (length as f64 * 1e6 / fault.rate as f64) as i64;
        Some(self.free_at)
    }
}
