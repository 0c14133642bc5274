//! Failure detection: probes, indirect probes, suspicions and their timeouts, and detection of the node's own isolation.

use super::membership::Member;
use super::{Node, Outbox};
use crate::{MemberState, Message, Packet};
use std::collections::BTreeMap;
use std::net::SocketAddr;

/// A node that received no packet for more than this many periods is isolated or was paused.
const ISOLATION_PERIODS: i64 = 3;
/// Maximum number of concurrent probes on behalf of others, so that a node cannot be used to flood another.
const MAX_RELAYED_PROBES: usize = 64;
/// Maximum number of long-suspected members probed in a period.
const MAX_SUSPECT_PROBES: usize = 16;
/// Number of periods for which a member must have been suspected before another node refutes on its behalf.
const PROXY_REFUTATION_PERIODS: i64 = 2;

/// A probe that was sent in the current period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct PendingProbe {
    target: SocketAddr,
    sequence: u32,
    /// When the probe is repeated and indirect probes are requested; none once that happened.
    retry_at: Option<i64>,
    is_acknowledged: bool,
    /// The target missed its probe in the previous period.
    is_second_attempt: bool,
}

/// A probe that was not acknowledged in its period.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct MissedProbe {
    target: SocketAddr,
    sequence: u32,
}

/// A probe on behalf of another member.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
struct RelayedProbe {
    requester: SocketAddr,
    requester_sequence: u32,
    expires_at: i64,
}

/// State of the failure detector. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct FailureDetector {
    /// Members still to be probed in this round, the next one last.
    round: Vec<SocketAddr>,
    pending: Option<PendingProbe>,
    /// Probes on behalf of others, by this node's sequence number.
    relayed: BTreeMap<u32, RelayedProbe>,
    last_sequence: u32,
    pub(super) next_period_at: i64,
    /// When a packet of any member last arrived.
    last_contact_at: i64,
    /// The member that missed the last probe; it is probed once more before it is suspected.
    missed: Option<MissedProbe>,
}

impl FailureDetector {
    pub(super) fn new(next_period_at: i64, now: i64) -> FailureDetector {
        FailureDetector {
            round: Vec::new(),
            pending: None,
            relayed: BTreeMap::new(),
            last_sequence: 0,
            next_period_at,
            last_contact_at: now,
            missed: None,
        }
    }

    /// When the pending probe is repeated, if it has not been yet.
    pub(super) fn retry_at(&self) -> Option<i64> {
        self.pending.as_ref().and_then(|probe| probe.retry_at)
    }

    pub(super) fn expire_relayed_probes(&mut self, now: i64) {
        self.relayed.retain(|_, probe| now < probe.expires_at);
    }

    fn next_sequence(&mut self) -> u32 {
        self.last_sequence = self.last_sequence.wrapping_add(1);
        self.last_sequence
    }
}

/// Whether a member takes part in the rounds of probes.
fn is_probed(member: &Member) -> bool {
    matches!(
        member.record.state,
        MemberState::Alive | MemberState::Suspect
    )
}

impl Node {
    /// Evaluates the period that ends: the pending probe, suspicion timeouts and evictions.
    pub(super) fn end_period(&mut self, now: i64) {
        // An isolated or paused node receives no acknowledgements, so it must neither suspect nor declare dead any member.
        let is_isolated = self.is_isolated(now);
        self.conclude_probe(now, is_isolated);
        self.conclude_suspicions(now, is_isolated);
        self.evict_dead_members(now);
    }

    /// Marks a member that missed its probe, and suspects it if it missed two in a row, so that a single loss raises no
    /// suspicion.
    fn conclude_probe(&mut self, now: i64, is_isolated: bool) {
        let Some(probe) = self.detector.pending.take() else {
            return;
        };
        if probe.is_acknowledged || is_isolated {
            return;
        }
        let Some(record) = self.members.get(&probe.target).map(|member| member.record) else {
            return;
        };
        if record.state != MemberState::Alive {
            return;
        }
        if !probe.is_second_attempt {
            self.detector.missed = Some(MissedProbe {
                target: probe.target,
                sequence: probe.sequence,
            });
            return;
        }
        self.counters.suspicions += 1;
        self.merge_record(now, record.entering(MemberState::Suspect), self.own.member);
    }

    /// Declares dead the members whose suspicion timed out.
    fn conclude_suspicions(&mut self, now: i64, is_isolated: bool) {
        let timeout = self.suspicion_timeout();
        // A member that does not receive our packets cannot refute; it is alive as long as its own packets arrive.
        for member in self
            .members
            .values_mut()
            .filter(|member| member.is_suspect())
        {
            member.state_since = member.state_since.max(member.last_contact_at);
        }
        if is_isolated {
            return;
        }
        let is_overdue =
            |member: &&Member| member.is_suspect() && now - member.state_since >= timeout;
        let overdue: Vec<_> = self
            .members
            .values()
            .filter(is_overdue)
            .map(|member| member.record)
            .collect();
        for record in overdue {
            self.counters.declared_dead += 1;
            self.merge_record(now, record.entering(MemberState::Dead), self.own.member);
        }
    }

    /// Starts a probe: of the member that missed the last one, also through others at once, or of the next one in the round.
    pub(super) fn begin_period(&mut self, now: i64, out: &mut Outbox) {
        if let Some(missed) = self.detector.missed.take() {
            if self.members.get(&missed.target).is_some_and(is_probed) {
                self.start_probe(now, missed.target, missed.sequence, true, out);
                return self.request_indirect_probes(now, out);
            }
        }
        if let Some(target) = self.next_probe_target() {
            let sequence = self.detector.next_sequence();
            self.start_probe(now, target, sequence, false, out);
        }
    }

    /// Takes the next member of the round, and starts a new round in random order if none is left. Returns none if there is no
    /// member to probe.
    fn next_probe_target(&mut self) -> Option<SocketAddr> {
        loop {
            match self.detector.round.pop() {
                Some(target) if self.members.get(&target).is_some_and(is_probed) => {
                    return Some(target)
                }
                Some(_) => {}
                None => {
                    let mut round = self.addresses_where(is_probed);
                    if round.is_empty() {
                        return None;
                    }
                    self.random.shuffle(&mut round);
                    self.detector.round = round;
                }
            }
        }
    }

    fn start_probe(
        &mut self,
        now: i64,
        target: SocketAddr,
        sequence: u32,
        is_second_attempt: bool,
        out: &mut Outbox,
    ) {
        let retry_at = Some(now + self.config.probe_timeout);
        self.detector.pending = Some(PendingProbe {
            target,
            sequence,
            retry_at,
            is_acknowledged: false,
            is_second_attempt,
        });
        self.send(now, Message::Probe(sequence), target, out);
    }

    /// Repeats the pending probe, directly and through other members, unless it was acknowledged.
    pub(super) fn retry_probe(&mut self, now: i64, out: &mut Outbox) {
        let Some(probe) = &mut self.detector.pending else {
            return;
        };
        probe.retry_at = None;
        if !probe.is_acknowledged {
            let (target, sequence) = (probe.target, probe.sequence);
            self.send(now, Message::Probe(sequence), target, out);
            self.request_indirect_probes(now, out);
        }
    }

    /// Asks random members to probe the target of the pending probe.
    fn request_indirect_probes(&mut self, now: i64, out: &mut Outbox) {
        let Some(probe) = &self.detector.pending else {
            return;
        };
        let (target, sequence) = (probe.target, probe.sequence);
        let relays = self.addresses_where(|member| {
            member.record.state == MemberState::Alive && member.record.member != target
        });
        for relay in self.random.sample(relays, self.config.indirect_probes) {
            self.send(now, Message::IndirectProbe(sequence, target), relay, out);
        }
    }

    /// Probes suspected members directly once half of the suspicion timeout has passed: the acknowledgement carries a refutation
    /// that was not disseminated to this node.
    pub(super) fn probe_long_suspected(&mut self, now: i64, out: &mut Outbox) {
        let half_timeout = self.suspicion_timeout() / 2;
        let suspects = self.addresses_where(|member| {
            member.is_suspect() && now - member.state_since >= half_timeout
        });
        for suspect in suspects.into_iter().take(MAX_SUSPECT_PROBES) {
            let sequence = self.detector.next_sequence();
            self.send(now, Message::Probe(sequence), suspect, out);
        }
    }

    /// Probes a member on behalf of another one.
    pub(super) fn relay_probe(
        &mut self,
        now: i64,
        requester: SocketAddr,
        requester_sequence: u32,
        target: SocketAddr,
        out: &mut Outbox,
    ) {
        if self.detector.relayed.len() >= MAX_RELAYED_PROBES || target == self.own.member {
            return;
        }
        let sequence = self.detector.next_sequence();
        let expires_at = now + self.config.probe_period;
        self.detector.relayed.insert(
            sequence,
            RelayedProbe {
                requester,
                requester_sequence,
                expires_at,
            },
        );
        self.send(now, Message::Probe(sequence), target, out);
    }

    /// Processes an acknowledgement of the pending probe, or forwards that of a relayed one.
    pub(super) fn receive_ack(&mut self, now: i64, sequence: u32, out: &mut Outbox) {
        if let Some(probe) = self
            .detector
            .pending
            .as_mut()
            .filter(|probe| probe.sequence == sequence)
        {
            probe.is_acknowledged = true;
        } else if let Some(probe) = self.detector.relayed.remove(&sequence) {
            self.send(
                now,
                Message::Ack(probe.requester_sequence),
                probe.requester,
                out,
            );
        }
    }

    /// Records that a packet of another member arrived.
    pub(super) fn record_contact(&mut self, now: i64, from: SocketAddr, packet: &Packet) {
        if self.settling.has_contact && self.is_isolated(now) {
            self.end_isolation(now);
        }
        self.settling.has_contact = true;
        self.detector.last_contact_at = now;
        self.refute_on_behalf(now, from, packet);
        if let Some(member) = self.members.get_mut(&from) {
            member.last_contact_at = now;
            member.last_heard_at = Some(now);
        }
    }

    /// Whether no packet arrived for so long that a missing acknowledgement says nothing about other members.
    fn is_isolated(&self, now: i64) -> bool {
        now - self.detector.last_contact_at > ISOLATION_PERIODS * self.config.probe_period
    }

    /// Extends suspicions by the time of an isolation, in which members were unreachable only to this node.
    fn end_isolation(&mut self, now: i64) {
        let gap = now - self.detector.last_contact_at;
        self.counters.isolations += 1;
        self.detector.pending = None;
        self.detector.missed = None;
        for member in self.members.values_mut() {
            member.last_contact_at += gap;
            if member.is_suspect() {
                member.state_since += gap;
            }
        }
    }

    /// How long a suspected member has to refute, in microseconds.
    pub(super) fn suspicion_timeout(&self) -> i64 {
        // One period less, because the second attempt of the probe took one before the suspicion.
        (self.config.suspicion_multiplier * self.group_size_log2() - 1) * self.config.probe_period
    }

    /// Refutes the suspicion of a member that sends packets but receives none, and therefore cannot refute it itself. A member
    /// that receives packets has refuted it by then, because each packet to a suspected member carries the suspicion.
    fn refute_on_behalf(&mut self, now: i64, from: SocketAddr, packet: &Packet) {
        let sent_record = packet.records.iter().find(|record| record.member == from);
        let Some((member, sent_record)) = self.members.get(&from).zip(sent_record) else {
            return;
        };
        let is_unaware = matches!(
            member.record.state,
            MemberState::Suspect | MemberState::Dead
        ) && sent_record.incarnation == member.record.incarnation
            && sent_record.state == MemberState::Alive
            && sent_record.refutations <= member.record.refutations;
        if is_unaware
            && now - member.state_since >= PROXY_REFUTATION_PERIODS * self.config.probe_period
        {
            self.counters.proxy_refutations += 1;
            let refutations = member.record.refutations.saturating_add(1);
            let refuted = crate::MemberRecord {
                refutations,
                ..*sent_record
            };
            self.merge_record(now, refuted, self.own.member);
        }
    }
}
