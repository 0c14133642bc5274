//! The emulated network.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wheelfield_gossip::{eviction_packet, Counters, MembershipConfig, Node, Packet, View};
use wheelfield_network_faults::{Entry, Fault, Parties, Timetable};

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000_000;

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 7_000))
}

pub struct Network {
    limits: MembershipConfig,
    loss: f64,
    pub now: i64,
    nodes: BTreeMap<usize, Node>,
    /// Those that start later, by time.
    starts: BTreeSet<(i64, usize)>,
    /// What is under way: when, a number that keeps the order, from, to, what.
    wire: BTreeMap<(i64, u64), (usize, usize, Packet)>,
    /// When each is to be woken.
    wakes: BTreeSet<(i64, usize)>,
    side: BTreeSet<usize>,
    split: bool,
    roads: Timetable,
    /// Those that stand still, and until when: what comes waits for them.
    paused: BTreeMap<usize, i64>,
    sent: u64,
    look: i64,
    /// Bytes sent, as far as they were measured.
    pub bytes: u64,
    pub packets: u64,
    pub measure: bool,
    draws: u64,
    gone: Counters,
    /// The most that the parts of a cold engine's budget came to, by the counts that all act on.
    pub parts: f64,
}

impl Network {
    pub fn new(seed: u64, limits: MembershipConfig, loss: f64) -> Network {
        Network {
            limits,
            loss,
            now: 0,
            nodes: BTreeMap::new(),
            starts: BTreeSet::new(),
            wire: BTreeMap::new(),
            wakes: BTreeSet::new(),
            side: BTreeSet::new(),
            split: false,
            roads: Timetable::default(),
            paused: BTreeMap::new(),
            sent: 0,
            look: 0,
            bytes: 0,
            packets: 0,
            measure: false,
            draws: seed.wrapping_mul(0x1234_5678_9abc_def1) ^ 0x5555,
            gone: Counters::default(),
            parts: 0.0,
        }
    }

    fn draw(&mut self) -> f64 {
        self.draws =
            self.draws.wrapping_mul(6_364_136_223_846_793_005).wrapping_add(1_442_695_040_888_963_407);
        (self.draws >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn start(&mut self, i: usize, at: i64) {
        self.starts.insert((at, i));
    }

    fn begin(&mut self, i: usize) {
        // The first three are the seeds of all.
        let seeds = (0..3).map(address).collect();
        let seed = (self.draw() * 1e15) as u64;
        let node = Node::new(address(i), self.now as u64 + 1, seeds, self.limits, seed, self.now);
        self.wakes.insert((node.next_tick_at(), i));
        self.nodes.insert(i, node);
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(node) = self.nodes.remove(&i) {
            self.count(node.counters());
        }
    }

    pub fn leave(&mut self, i: usize) {
        let Some(mut node) = self.nodes.remove(&i) else { return };
        let mut out = Vec::new();
        node.leave(&mut out);
        self.count(node.counters());
        self.send(i, out);
    }

    fn count(&mut self, c: Counters) {
        self.gone.suspicions += c.suspicions;
        self.gone.refutations += c.refutations;
        self.gone.declared_dead += c.declared_dead;
        self.gone.uncorroborated += c.uncorroborated;
    }

    pub fn counters(&self) -> Counters {
        let mut all = self.gone;
        for c in self.nodes.values().map(Node::counters) {
            all.suspicions += c.suspicions;
            all.refutations += c.refutations;
            all.declared_dead += c.declared_dead;
            all.uncorroborated += c.uncorroborated;
        }
        all
    }

    /// An operator tells one that another is gone for good.
    pub fn forget(&mut self, told: usize, whom: usize) {
        let record = self.nodes[&told].records().find(|r| r.member == address(whom)).copied();
        let packet = eviction_packet(record.expect("known"));
        let (now, mut out) = (self.now, Vec::new());
        if let Some(node) = self.nodes.get_mut(&told) {
            node.receive(now, address(999), &packet, &mut out);
        }
        self.send(told, out);
    }

    pub fn split(&mut self, side: impl Fn(usize) -> bool) {
        self.side = self.nodes.keys().copied().filter(|i| side(*i)).collect();
        self.split = true;
    }

    /// Nothing that some send comes to others, from now on for so long.
    pub fn cut(&mut self, from: Parties, to: Parties, lasts: i64) {
        let fault = Fault { cut: true, ..Fault::default() };
        self.roads.0.push(Entry { fault, from, to, both: false, at: self.now, lasts, every: 0, times: 1 });
    }

    /// A process stands still for so long.
    pub fn pause(&mut self, i: usize, lasts: i64) {
        self.paused.insert(i, self.now + lasts);
    }

    pub fn node(&self, i: usize) -> &Node {
        &self.nodes[&i]
    }

    pub fn heal(&mut self) {
        self.split = false;
    }

    /// Of how many, itself among them, the node has heard that has heard of the fewest.
    pub fn fewest_known(&self) -> usize {
        self.nodes.values().map(|n| n.records().count() + 1).min().unwrap_or(0)
    }

    pub fn views(&self) -> Vec<View> {
        self.nodes.values().map(|n| n.view()).collect()
    }

    fn number(a: SocketAddr) -> usize {
        match a {
            SocketAddr::V4(a) => usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3]),
            SocketAddr::V6(_) => usize::MAX,
        }
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in out {
            self.packets += 1;
            if self.measure {
                // Magic, key, start, sequence and seal are some forty bytes more.
                self.bytes += 40 + wheelfield_gossip::authentication::encoded_size(&packet) as u64;
            }
            let to = Self::number(to);
            if self.roads.fault(from, to, self.now).cut {
                continue;
            }
            // One in a hundred comes twice.
            let copies = 1 + usize::from(self.draw() < 0.01);
            for _ in 0..copies {
                if self.draw() < self.loss {
                    continue;
                }
                let delay = MS + (self.draw() * 20.0 * MS as f64) as i64;
                self.sent += 1;
                self.wire.insert((self.now + delay, self.sent), (from, to, packet.clone()));
            }
        }
    }

    /// The time of what comes next.
    fn next(&self) -> Option<i64> {
        let wire = self.wire.first_key_value().map(|((t, _), _)| *t);
        let wake = self.wakes.first().map(|(t, _)| *t);
        let start = self.starts.first().map(|(t, _)| *t);
        [wire, wake, start].into_iter().flatten().min()
    }

    pub fn run_until(&mut self, end: i64) {
        self.watch_until(end);
    }

    /// Runs, and gives the fewest that any node acted on.
    pub fn watch_until(&mut self, end: i64) -> usize {
        let mut lowest = usize::MAX;
        while let Some(at) = self.next().filter(|t| *t <= end) {
            self.now = at;
            let acted = self.one();
            if let Some(node) = acted.and_then(|i| self.nodes.get(&i)) {
                lowest = lowest.min(node.view().count);
            }
            // A look at all for each event would take too long.
            if self.now >= self.look {
                self.look = self.now + 200 * MS;
                let all = self.views().iter().map(|v| 1.0 / v.count as f64).sum::<f64>();
                self.parts = self.parts.max(all);
            }
        }
        self.now = end;
        lowest.min(self.views().iter().map(|v| v.count).min().unwrap_or(usize::MAX))
    }

    /// Does what is next; at which node.
    fn one(&mut self) -> Option<usize> {
        let now = self.now;
        if let Some((_, i)) = self.starts.first().copied().filter(|(t, _)| *t <= now) {
            self.starts.pop_first();
            self.begin(i);
            return Some(i);
        }
        self.paused.retain(|_, until| *until > now);
        let mut out = Vec::new();
        if self.wire.first_key_value().is_some_and(|((t, _), _)| *t <= now) {
            let ((_, number), (from, to, packet)) = self.wire.pop_first()?;
            if let Some(until) = self.paused.get(&to) {
                self.wire.insert((*until, number), (from, to, packet));
                return None;
            }
            if self.split && self.side.contains(&from) != self.side.contains(&to) {
                return None;
            }
            let node = self.nodes.get_mut(&to)?;
            node.receive(now, address(from), &packet, &mut out);
            self.send(to, out);
            return Some(to);
        }
        let (_, i) = self.wakes.pop_first()?;
        if let Some(until) = self.paused.get(&i) {
            self.wakes.insert((*until, i));
            return None;
        }
        let node = self.nodes.get_mut(&i)?;
        // Of a restarted one, an old wake may be left.
        if node.next_tick_at() <= now {
            node.tick(now, &mut out);
        }
        let next = node.next_tick_at().max(now + 1);
        if !self.wakes.iter().any(|(_, j)| *j == i) {
            self.wakes.insert((next, i));
        }
        self.send(i, out);
        Some(i)
    }
}
