//! An emulated network of nodes in virtual time.
#![allow(dead_code)]

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use wheelfield_gossip::{eviction_packet, Counters, MembershipConfig, Node, Packet, View};
use wheelfield_network_faults::{Fault, FaultSchedule, NodeSet, ScheduledFault};

pub const MS: i64 = 1_000;
pub const SECOND: i64 = 1_000_000;

pub fn address(i: usize) -> SocketAddr {
    SocketAddr::from(([127, 1, (i >> 8) as u8, i as u8], 7_000))
}

pub struct Network {
    config: MembershipConfig,
    loss: f64,
    pub now: i64,
    nodes: BTreeMap<usize, Node>,
    /// Nodes that start later, by time.
    starts: BTreeSet<(i64, usize)>,
    /// Packets in flight: by arrival time and sequence number, with sender and receiver.
    in_flight: BTreeMap<(i64, u64), (usize, usize, Packet)>,
    /// When the next tick of each node is due, by time.
    ticks: BTreeSet<(i64, usize)>,
    /// The nodes on one side of the partition, while `is_partitioned` is set.
    side: BTreeSet<usize>,
    is_partitioned: bool,
    faults: FaultSchedule,
    /// Paused nodes and the ends of their pauses; their packets and ticks are delayed until then.
    paused: BTreeMap<usize, i64>,
    last_packet_number: u64,
    next_sample_at: i64,
    /// Bytes sent while `measures_bytes` is set.
    pub bytes: u64,
    pub packets: u64,
    pub measures_bytes: bool,
    random_state: u64,
    /// Counters of nodes that were stopped.
    stopped: Counters,
    /// Highest sum of the quota shares `1 / count` of all nodes, by their own member counts.
    pub share_sum: f64,
}

impl Network {
    pub fn new(seed: u64, config: MembershipConfig, loss: f64) -> Network {
        Network {
            config,
            loss,
            now: 0,
            nodes: BTreeMap::new(),
            starts: BTreeSet::new(),
            in_flight: BTreeMap::new(),
            ticks: BTreeSet::new(),
            side: BTreeSet::new(),
            is_partitioned: false,
            faults: FaultSchedule::default(),
            paused: BTreeMap::new(),
            last_packet_number: 0,
            next_sample_at: 0,
            bytes: 0,
            packets: 0,
            measures_bytes: false,
            random_state: seed.wrapping_mul(0x1234_5678_9abc_def1) ^ 0x5555,
            stopped: Counters::default(),
            share_sum: 0.0,
        }
    }

    fn next_random(&mut self) -> f64 {
        self.random_state = self
            .random_state
            .wrapping_mul(6_364_136_223_846_793_005)
            .wrapping_add(1_442_695_040_888_963_407);
        (self.random_state >> 11) as f64 / (1u64 << 53) as f64
    }

    pub fn start(&mut self, i: usize, at: i64) {
        self.starts.insert((at, i));
    }

    fn start_node(&mut self, i: usize) {
        // The first three nodes are the seeds of all.
        let seeds = (0..3).map(address).collect();
        let seed = (self.next_random() * 1e15) as u64;
        let node = Node::new(
            address(i),
            self.now as u64 + 1,
            seeds,
            self.config,
            seed,
            self.now,
        );
        self.ticks.insert((node.next_tick_at(), i));
        self.nodes.insert(i, node);
    }

    pub fn kill(&mut self, i: usize) {
        if let Some(node) = self.nodes.remove(&i) {
            self.add_counters(node.counters());
        }
    }

    pub fn leave(&mut self, i: usize) {
        let Some(mut node) = self.nodes.remove(&i) else {
            return;
        };
        let mut out = Vec::new();
        node.leave(&mut out);
        self.add_counters(node.counters());
        self.send(i, out);
    }

    fn add_counters(&mut self, c: Counters) {
        self.stopped.suspicions += c.suspicions;
        self.stopped.refutations += c.refutations;
        self.stopped.declared_dead += c.declared_dead;
        self.stopped.uncorroborated += c.uncorroborated;
    }

    pub fn counters(&self) -> Counters {
        let mut all = self.stopped;
        for c in self.nodes.values().map(Node::counters) {
            all.suspicions += c.suspicions;
            all.refutations += c.refutations;
            all.declared_dead += c.declared_dead;
            all.uncorroborated += c.uncorroborated;
        }
        all
    }

    /// An operator evicts a member through one node.
    pub fn evict(&mut self, through: usize, member: usize) {
        let record = self.nodes[&through]
            .records()
            .find(|r| r.member == address(member))
            .copied();
        let packet = eviction_packet(record.expect("a known member"));
        let (now, mut out) = (self.now, Vec::new());
        if let Some(node) = self.nodes.get_mut(&through) {
            node.receive(now, address(999), &packet, &mut out);
        }
        self.send(through, out);
    }

    pub fn partition(&mut self, side: impl Fn(usize) -> bool) {
        self.side = self.nodes.keys().copied().filter(|i| side(*i)).collect();
        self.is_partitioned = true;
    }

    /// Drops all packets from some nodes to others, from now on for a duration.
    pub fn block(&mut self, from: NodeSet, to: NodeSet, duration: i64) {
        let fault = Fault {
            blocked: true,
            ..Fault::default()
        };
        self.faults.0.push(ScheduledFault {
            fault,
            from,
            to,
            bidirectional: false,
            starts_at: self.now,
            duration,
            period: 0,
            repetitions: 1,
        });
    }

    /// Pauses a process for a duration.
    pub fn pause(&mut self, i: usize, duration: i64) {
        self.paused.insert(i, self.now + duration);
    }

    pub fn node(&self, i: usize) -> &Node {
        &self.nodes[&i]
    }

    pub fn heal(&mut self) {
        self.is_partitioned = false;
    }

    /// The lowest number of members, itself included, that a node knows.
    pub fn fewest_known(&self) -> usize {
        self.nodes
            .values()
            .map(|n| n.records().count() + 1)
            .min()
            .unwrap_or(0)
    }

    pub fn views(&self) -> Vec<View> {
        self.nodes.values().map(|n| n.view()).collect()
    }

    fn index_of(a: SocketAddr) -> usize {
        match a {
            SocketAddr::V4(a) => {
                usize::from(a.ip().octets()[2]) << 8 | usize::from(a.ip().octets()[3])
            }
            SocketAddr::V6(_) => usize::MAX,
        }
    }

    fn send(&mut self, from: usize, out: Vec<(SocketAddr, Packet)>) {
        for (to, packet) in out {
            self.packets += 1;
            if self.measures_bytes {
                // Magic, key number, incarnation, sequence number and authentication code add about 40 bytes.
                self.bytes += 40 + wheelfield_gossip::authentication::encoded_size(&packet) as u64;
            }
            let to = Self::index_of(to);
            if self.faults.fault(from, to, self.now).blocked {
                continue;
            }
            // One packet in a hundred is duplicated.
            let copies = 1 + usize::from(self.next_random() < 0.01);
            for _ in 0..copies {
                if self.next_random() < self.loss {
                    continue;
                }
                let delay = MS + (self.next_random() * 20.0 * MS as f64) as i64;
                self.last_packet_number += 1;
                self.in_flight.insert(
                    (self.now + delay, self.last_packet_number),
                    (from, to, packet.clone()),
                );
            }
        }
    }

    /// The time of the next start, delivery or tick.
    fn next_event_at(&self) -> Option<i64> {
        let in_flight = self.in_flight.first_key_value().map(|((t, _), _)| *t);
        let tick_at = self.ticks.first().map(|(t, _)| *t);
        let start = self.starts.first().map(|(t, _)| *t);
        [in_flight, tick_at, start].into_iter().flatten().min()
    }

    pub fn run_until(&mut self, end: i64) {
        self.run_and_track_lowest_count(end);
    }

    /// Runs until a time, and returns the lowest member count that any node used.
    pub fn run_and_track_lowest_count(&mut self, end: i64) -> usize {
        let mut lowest = usize::MAX;
        while let Some(at) = self.next_event_at().filter(|t| *t <= end) {
            self.now = at;
            let active = self.perform_next();
            if let Some(node) = active.and_then(|i| self.nodes.get(&i)) {
                lowest = lowest.min(node.view().count);
            }
            // Evaluating all views at each event would take too long.
            if self.now >= self.next_sample_at {
                self.next_sample_at = self.now + 200 * MS;
                let share_sum = self
                    .views()
                    .iter()
                    .map(|v| 1.0 / v.count as f64)
                    .sum::<f64>();
                self.share_sum = self.share_sum.max(share_sum);
            }
        }
        self.now = end;
        lowest.min(
            self.views()
                .iter()
                .map(|v| v.count)
                .min()
                .unwrap_or(usize::MAX),
        )
    }

    /// Performs the next event, and returns the node that processed it.
    fn perform_next(&mut self) -> Option<usize> {
        let now = self.now;
        if let Some((_, i)) = self.starts.first().copied().filter(|(t, _)| *t <= now) {
            self.starts.pop_first();
            self.start_node(i);
            return Some(i);
        }
        self.paused.retain(|_, until| *until > now);
        let mut out = Vec::new();
        if self
            .in_flight
            .first_key_value()
            .is_some_and(|((t, _), _)| *t <= now)
        {
            let ((_, number), (from, to, packet)) = self.in_flight.pop_first()?;
            if let Some(until) = self.paused.get(&to) {
                self.in_flight.insert((*until, number), (from, to, packet));
                return None;
            }
            if self.is_partitioned && self.side.contains(&from) != self.side.contains(&to) {
                return None;
            }
            let node = self.nodes.get_mut(&to)?;
            node.receive(now, address(from), &packet, &mut out);
            self.send(to, out);
            return Some(to);
        }
        let (_, i) = self.ticks.pop_first()?;
        if let Some(until) = self.paused.get(&i) {
            self.ticks.insert((*until, i));
            return None;
        }
        let node = self.nodes.get_mut(&i)?;
        // A tick of the process before a restart may remain; it is then not due.
        if node.next_tick_at() <= now {
            node.tick(now, &mut out);
        }
        let next = node.next_tick_at().max(now + 1);
        if !self.ticks.iter().any(|(_, j)| *j == i) {
            self.ticks.insert((next, i));
        }
        self.send(i, out);
        Some(i)
    }
}
