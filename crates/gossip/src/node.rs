//! The membership protocol of one controller.
//!
//! [`Node`] is a state machine: the caller passes the time, received packets and an [`Outbox`]. Its concerns are split over
//! the submodules: `detector` (probes and suspicions), `membership` (the member table and the precedence of records), `view`
//! (the member count to act on, and agreement with others) and `dissemination` (piggybacked records and full synchronization).

mod detector;
mod dissemination;
mod membership;
mod view;

pub use view::{MemberStatus, View};

use crate::event::EventQueue;
use crate::random::SplitMix64;
use crate::{
    Counters, MemberRecord, MemberState, MembershipChange, MembershipConfig, MembershipEvent,
};
use crate::{Message, Packet};
use detector::FailureDetector;
use dissemination::Synchronizer;
use membership::Member;
use std::collections::BTreeMap;
use std::net::SocketAddr;
use view::{Settling, ViewAgreement};

/// Packets to send, each with its destination, in order.
pub type Outbox = Vec<(SocketAddr, Packet)>;

/// Number of members that a leaving node notifies directly; they disseminate the leave.
const LEAVE_FANOUT: usize = 8;

/// One controller's knowledge of all members.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub struct Node {
    config: MembershipConfig,
    /// The record of this node itself, as it is sent to others.
    own: MemberRecord,
    /// All other known members.
    members: BTreeMap<SocketAddr, Member>,
    detector: FailureDetector,
    synchronizer: Synchronizer,
    settling: Settling,
    agreement: ViewAgreement,
    random: SplitMix64,
    counters: Counters,
    events: EventQueue,
}

impl Node {
    /// Creates a node at the address `own` that knows only the seeds to contact. `now` is in microseconds. The same random
    /// seed and inputs produce the same packets.
    pub fn new(
        own: SocketAddr,
        incarnation: u64,
        seeds: Vec<SocketAddr>,
        config: MembershipConfig,
        random_seed: u64,
        now: i64,
    ) -> Node {
        let mut random = SplitMix64::new(random_seed);
        // Nodes that start together do not all probe at the same time.
        let first_period_at = now + random.below(config.probe_period.max(1) as u64) as i64;
        Node {
            config,
            own: MemberRecord::alive(own, incarnation),
            members: BTreeMap::new(),
            detector: FailureDetector::new(first_period_at, now),
            synchronizer: Synchronizer::new(
                seeds.into_iter().filter(|seed| *seed != own).collect(),
                now,
            ),
            settling: Settling::new(now),
            agreement: ViewAgreement::new(own),
            random,
            counters: Counters::default(),
            events: EventQueue::default(),
        }
    }

    /// Counters since the start.
    pub fn counters(&self) -> Counters {
        self.counters
    }

    /// Removes and returns the events since the last call.
    pub fn take_events(&mut self) -> Vec<MembershipEvent> {
        self.events.take()
    }

    /// The records of all known members except this node.
    pub fn records(&self) -> impl Iterator<Item = &MemberRecord> {
        self.members.values().map(|member| &member.record)
    }

    /// The incarnation that this node announces: at least its own start time, and later than that of any earlier process at
    /// its address.
    pub fn incarnation(&self) -> u64 {
        self.own.incarnation
    }

    /// Packet that tells a member whose datagrams are dropped as stale which later `incarnation` of its address is known.
    pub fn incarnation_notice(&self, to: SocketAddr, incarnation: u64) -> Packet {
        let records = vec![self.own, MemberRecord::alive(to, incarnation)];
        Packet {
            message: Message::Update,
            records,
            view_tag: Some(self.agreement.tag),
        }
    }

    /// The time at which [`Node::tick`] is next due, in microseconds.
    pub fn next_tick_at(&self) -> i64 {
        let due = [
            Some(self.detector.next_period_at),
            Some(self.synchronizer.next_at),
            self.detector.retry_at(),
        ];
        due.into_iter().flatten().min().unwrap_or(i64::MAX)
    }

    /// Runs all timers that are due at `now`.
    pub fn tick(&mut self, now: i64, out: &mut Outbox) {
        self.detector.expire_relayed_probes(now);
        self.update_settling(now);
        if self.detector.retry_at().is_some_and(|at| now >= at) {
            self.retry_probe(now, out);
        }
        if now >= self.detector.next_period_at {
            self.end_period(now);
            self.begin_period(now, out);
            self.probe_long_suspected(now, out);
            // A node that was paused does not catch up on missed periods.
            self.detector.next_period_at =
                (self.detector.next_period_at + self.config.probe_period).max(now + 1);
        }
        if now >= self.synchronizer.next_at {
            self.request_sync(now, out);
        }
    }

    /// Processes a packet, which must have been authenticated with a shared key.
    pub fn receive(&mut self, now: i64, from: SocketAddr, packet: &Packet, out: &mut Outbox) {
        if from != self.own.member {
            self.record_contact(now, from, packet);
        }
        for record in packet.records.iter().take(self.config.max_members) {
            self.merge_record(now, *record, from);
        }
        self.compare_views(now, from, packet.view_tag);
        match packet.message {
            Message::Probe(sequence) => self.send(now, Message::Ack(sequence), from, out),
            Message::Ack(sequence) => self.receive_ack(now, sequence, out),
            Message::IndirectProbe(sequence, target) => {
                self.relay_probe(now, from, sequence, target, out)
            }
            Message::SyncRequest => self.send_all_records(now, from, out),
            Message::Update => {}
        }
    }

    /// Leaves the group: notifies a few members, which disseminate the leave.
    pub fn leave(&mut self, out: &mut Outbox) {
        self.own.state = MemberState::Left;
        let alive = self.addresses_where(|member| member.record.state == MemberState::Alive);
        for to in self.random.sample(alive, LEAVE_FANOUT) {
            out.push((
                to,
                Packet {
                    message: Message::Update,
                    records: vec![self.own],
                    view_tag: None,
                },
            ));
        }
    }

    /// The addresses of the members that satisfy a predicate, in ascending order.
    fn addresses_where(&self, predicate: impl Fn(&Member) -> bool) -> Vec<SocketAddr> {
        self.members
            .values()
            .filter(|member| predicate(member))
            .map(|member| member.record.member)
            .collect()
    }

    /// The binary logarithm of the group size, at least one.
    fn group_size_log2(&self) -> i64 {
        i64::from((self.members.len() as u64 + 1).ilog2()).max(1)
    }

    fn push_event(&mut self, member: SocketAddr, change: MembershipChange, source: SocketAddr) {
        self.events.push(MembershipEvent {
            member,
            change,
            source,
        });
    }
}
