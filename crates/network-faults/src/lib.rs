//! Emulation of network faults between nodes. Each ordered pair of nodes is a link of its own. A datagram sent on a link may be
//! delayed, duplicated, corrupted or lost, as determined by a [`FaultSchedule`] and a random number generator per link.
//!
//! The virtual network of the test bed and its relay between real processes use the same emulator. The crate performs no I/O,
//! reads no clock and has no global state; times are in microseconds of the caller's clock.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

mod schedule;

use rand::{RngExt as _, SeedableRng as _};
use rand_pcg::Pcg64Mcg;
pub use schedule::{FaultSchedule, NodeSet, ScheduledFault};
use std::collections::BTreeMap;

/// The faults of a link. The default is a link without faults.
#[derive(Clone, Copy, Debug, Default, PartialEq)]
pub struct Fault {
    /// All datagrams are lost.
    pub blocked: bool,
    /// Probability that a datagram is lost.
    pub loss: f64,
    /// Delay of each datagram, in microseconds.
    pub delay: i64,
    /// Maximum random delay in addition, in microseconds. Datagrams may overtake each other.
    pub jitter: i64,
    /// Probability that a datagram is delivered twice.
    pub duplicate: f64,
    /// Probability that one bit of a delivered copy is flipped.
    pub corrupt: f64,
    /// Rate limit in bytes per second; zero for no limit.
    pub rate: u64,
    /// Capacity of the queue of a rate-limited link in bytes; datagrams that exceed it are lost.
    pub queue_limit: u64,
}

impl Fault {
    /// Combines two faults that apply at the same time.
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

/// Counters of the datagrams sent on a link.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct LinkCounters {
    /// Datagrams sent.
    pub sent: u64,
    /// Bytes sent.
    pub bytes: u64,
    /// Datagrams lost because the link was blocked.
    pub blocked: u64,
    /// Datagrams lost at random.
    pub lost: u64,
    /// Datagrams lost because the queue of a rate-limited link was full.
    pub queue_overflows: u64,
    /// Datagrams delivered twice.
    pub duplicated: u64,
    /// Delivered copies with a flipped bit.
    pub corrupted: u64,
}

impl LinkCounters {
    /// The sum of two sets of counters.
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

/// The delivery of a datagram.
#[derive(Clone, Debug, PartialEq, Eq)]
pub struct Delivery {
    /// When the datagram arrives.
    pub at: i64,
    /// The contents.
    pub bytes: Vec<u8>,
}

#[derive(Debug)]
struct Link {
    rng: Pcg64Mcg,
    /// When the queue of a rate-limited link is empty.
    busy_until: i64,
    counters: LinkCounters,
}

/// Emulates all links between nodes, which are numbered from 0.
#[derive(Debug)]
pub struct LinkEmulator {
    schedule: FaultSchedule,
    seed: u64,
    /// Created on first use: in a group of 180 nodes only few pairs ever communicate.
    links: BTreeMap<(usize, usize), Link>,
}

impl LinkEmulator {
    /// Creates an emulator. The same schedule, seed and transmissions produce the same deliveries.
    pub fn new(schedule: FaultSchedule, seed: u64) -> LinkEmulator {
        LinkEmulator { schedule, seed, links: BTreeMap::new() }
    }

    /// The faults of a link at a time.
    pub fn fault(&self, from: usize, to: usize, now: i64) -> Fault {
        self.schedule.fault(from, to, now)
    }

    /// Transmits a datagram on a link, and returns its deliveries: none, one or two.
    pub fn transmit(&mut self, from: usize, to: usize, now: i64, bytes: &[u8]) -> Vec<Delivery> {
        let fault = self.schedule.fault(from, to, now);
        // Each link has its own generator, so that traffic on other links does not change its faults.
        let seed = self.seed ^ ((from as u64) << 32 | to as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        let link = self.links.entry((from, to)).or_insert_with(|| Link {
            rng: Pcg64Mcg::seed_from_u64(seed),
            busy_until: i64::MIN,
            counters: LinkCounters::default(),
        });
        link.transmit(fault, now, bytes)
    }

    /// The counters of a link.
    pub fn counters(&self, from: usize, to: usize) -> LinkCounters {
        self.links.get(&(from, to)).map_or(LinkCounters::default(), |link| link.counters)
    }

    /// The summed counters of all links from a node.
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

    /// Queues a datagram on a rate-limited link; returns when it has been transmitted, or none if the queue is full.
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
