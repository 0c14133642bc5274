//! Faults between parties. Each ordered pair of them is a road of its own: what is sent on it comes late, twice, spoilt or never,
//! by a [`FaultSchedule`] of faults and by chance drawn from a seed for that pair alone.
//!
//! One model: the laboratory's virtual network and its relay between real processes both play it. No I/O, no clock, no globals;
//! times are microseconds of whatever clock the caller keeps.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod schedule;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
pub use schedule::{FaultSchedule, NodeSet, ScheduledFault};
use std::collections::BTreeMap;

/// What is wrong with a road.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// Nothing passes.
    pub blocked: bool,
    /// The chance that what is sent is lost.
    pub loss: f64,
    /// It comes so much later, in microseconds,
    pub delay: i64,
    /// and up to so much later than that: what is sent later may come sooner.
    pub jitter: i64,
    /// The chance that it comes twice.
    pub duplicate: f64,
    /// The chance that one of its bits is turned over.
    pub corrupt: f64,
    /// Bytes a second that pass; zero for any number.
    pub rate: u64,
    /// Bytes that wait where the rate binds; what would be more is lost.
    pub queue_limit: u64,
}

impl Fault {
    /// Both at once.
    pub fn combine(self, other: Fault) -> Fault {
        let either = |a: f64, b: f64| 1.0 - (1.0 - a) * (1.0 - b);
        let (rate, queue_limit) = match (self.rate, other.rate) {
            (0, _) => (other.rate, other.queue_limit),
            (_, 0) => (self.rate, self.queue_limit),
            (a, b) => (a.min(b), self.queue_limit.min(other.queue_limit)),
        };
        Fault {
            blocked: self.blocked || other.blocked,
            loss: either(self.loss, other.loss),
            delay: self.delay + other.delay,
            jitter: self.jitter + other.jitter,
            duplicate: either(self.duplicate, other.duplicate),
            corrupt: either(self.corrupt, other.corrupt),
            rate,
            queue_limit,
        }
    }
}

/// What came of all that was sent on a road.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Datagrams sent,
    pub sent: u64,
    /// and their bytes.
    pub bytes: u64,
    /// Lost by a cut,
    pub blocked: u64,
    /// by chance,
    pub lost: u64,
    /// for want of room where the rate binds.
    pub queue_overflows: u64,
    /// Come twice.
    pub duplicated: u64,
    /// Spoilt.
    pub corrupted: u64,
}

impl LinkCounters {
    /// The sum of both.
    pub fn merge(self, other: LinkCounters) -> LinkCounters {
        LinkCounters {
            sent: self.sent + other.sent,
            bytes: self.bytes + other.bytes,
            blocked: self.blocked + other.blocked,
            lost: self.lost + other.lost,
            queue_overflows: self.queue_overflows + other.queue_overflows,
            duplicated: self.duplicated + other.duplicated,
            corrupted: self.corrupted + other.corrupted,
        }
    }
}

/// A datagram that arrives.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// When.
    pub at: i64,
    /// With which bytes.
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
struct Link {
    rng: Pcg64Mcg,
    /// Where the rate binds: when the last of what waits has passed.
    busy_until: i64,
    counters: LinkCounters,
}

/// All roads between parties, numbered from 0.
#[derive(Debug)]
pub struct LinkEmulator {
    schedule: FaultSchedule,
    seed: u64,
    /// Made when first used: of 180 parties few pairs ever speak.
    links: BTreeMap<(usize, usize), Link>,
}

impl LinkEmulator {
    /// LinkEmulator without faults but those of the schedule. The same schedule, seed and sendings give the same arrivals.
    pub fn new(schedule: FaultSchedule, seed: u64) -> LinkEmulator {
        LinkEmulator { schedule, seed, links: BTreeMap::new() }
    }

    /// What is wrong on a road at a time.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        self.schedule.fault(from, to, now)
    }

    /// Takes what is sent on a road, and tells when it arrives and how: not at all, once or twice.
    pub fn transmit(&mut self, from: usize, to: usize, now: i64, bytes: &[u8]) -> Vec<Delivery> {
        let fault = self.schedule.fault(from, to, now);
        // A road's chance is its own: what others send moves nothing on it.
        let seed = self.seed ^ ((from as u64) << 32 | to as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let link = self.links.entry((from, to)).or_insert_with(|| Link {
            rng: Pcg64Mcg::seed_from_u64(seed),
            busy_until: i64::MIN,
            counters: LinkCounters::default(),
        });
        link.transmit(fault, now, bytes)
    }

    /// What came of all that was sent on a road.
    pub fn counters(&self, from: usize, to: usize) -> LinkCounters {
        self.links.get(&(from, to)).map_or(LinkCounters::default(), |link| link.counters)
    }

    /// The same over all roads from a party.
    pub fn counters_from(&self, from: usize) -> LinkCounters {
        let links = self.links.range((from, 0)..=(from, usize::MAX));
        links.fold(LinkCounters::default(), |sum, (_, link)| sum.merge(link.counters))
    }
}

impl Link {
    fn transmit(&mut self, fault: Fault, now: i64, bytes: &[u8]) -> Vec<Delivery> {
        self.counters.sent += 1;
        self.counters.bytes += bytes.len() as u64;
        if fault.blocked {
            self.counters.blocked += 1;
            return Vec::new();
        }
        if self.occurs(fault.loss) {
            self.counters.lost += 1;
            return Vec::new();
        }
        let Some(transmitted_at) = self.enqueue(fault, now, bytes.len() as u64) else {
            self.counters.queue_overflows += 1;
            return Vec::new();
        };
        let copies = 1 + usize::from(self.occurs(fault.duplicate));
        self.counters.duplicated += copies as u64 - 1;
        (0..copies)
            .map(|_| {
                let jitter = if fault.jitter > 0 { self.rng.random_range(0..=fault.jitter) } else { 0 };
                let mut bytes = bytes.to_vec();
                if !bytes.is_empty() && self.occurs(fault.corrupt) {
                    let bit = self.rng.random_range(0..bytes.len() * 8);
                    bytes[bit / 8] ^= 1 << (bit % 8);
                    self.counters.corrupted += 1;
                }
                Delivery { at: transmitted_at + fault.delay + jitter, bytes }
            })
            .collect()
    }

    fn occurs(&mut self, probability: f64) -> bool {
        probability > 0.0 && self.rng.random::<f64>() < probability
    }

    /// When so many bytes have passed where the rate binds; none if too many wait before them.
    fn enqueue(&mut self, fault: Fault, now: i64, length: u64) -> Option<i64> {
        if fault.rate == 0 {
            return Some(now);
        }
        let begins_at = self.busy_until.max(now);
        let queued_bytes = (begins_at - now) as f64 * fault.rate as f64 / 1e6;
        if queued_bytes + length as f64 > fault.queue_limit as f64 {
            return None;
        }
        self.busy_until = begins_at + (length as f64 * 1e6 / fault.rate as f64) as i64;
        Some(self.busy_until)
    }
}
