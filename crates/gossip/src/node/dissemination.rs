//! Dissemination of records: piggybacked on all packets, and by periodic full synchronization with one member.

use super::{Node, Outbox};
use crate::{MemberRecord, MemberState, Message, Packet};
use std::net::SocketAddr;

/// Number of times that a record is piggybacked, for each doubling of the group size.
const RETRANSMIT_MULTIPLIER: u32 = 3;
/// Synchronization interval of a node that has not settled, in probe periods.
const SETTLING_SYNC_PERIODS: i64 = 3;

/// When and with whom to synchronize.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Synchronizer {
    /// Configured addresses to contact.
    seeds: Vec<SocketAddr>,
    pub(super) next_at: i64,
}

impl Synchronizer {
    pub(super) fn new(seeds: Vec<SocketAddr>, next_at: i64) -> Synchronizer {
        Synchronizer { seeds, next_at }
    }
}

impl Node {
    /// Requests all records of one member: a seed until a packet of another member arrived, then any member that did not leave. Dead
    /// members are included, so that the sides of a healed partition find each other.
    pub(super) fn request_sync(&mut self, now: i64, out: &mut Outbox) {
        let mut candidates = self.synchronizer.seeds.clone();
        if self.settling.has_contact {
            candidates
                .extend(self.addresses_where(|member| member.record.state != MemberState::Left));
        }
        candidates.sort_unstable();
        candidates.dedup();
        self.synchronizer.next_at = now + self.sync_interval();
        if candidates.is_empty() {
            // Without seeds and members there is no contact to wait for.
            self.settling.has_contact = true;
            return;
        }
        let index = self.random.below(candidates.len() as u64) as usize;
        self.send(now, Message::SyncRequest, candidates[index], out);
    }

    /// Time to the next synchronization. A fresh node synchronizes often, as records that no longer change are not piggybacked.
    fn sync_interval(&self) -> i64 {
        if self.settling.has_listened {
            self.config.sync_interval
        } else if self.settling.has_contact {
            (SETTLING_SYNC_PERIODS * self.config.probe_period).min(self.config.sync_interval)
        } else {
            self.config.probe_period
        }
    }

    /// Answers a synchronization request.
    pub(super) fn send_all_records(&self, now: i64, to: SocketAddr, out: &mut Outbox) {
        let others = self
            .members
            .values()
            .map(|member| member.record_with_age(now));
        let all: Vec<MemberRecord> = std::iter::once(self.own).chain(others).collect();
        for records in all.chunks(self.config.max_piggybacked_records.max(1)) {
            let view_tag = Some(self.agreement.tag);
            out.push((
                to,
                Packet {
                    message: Message::Update,
                    records: records.to_vec(),
                    view_tag,
                },
            ));
        }
    }

    /// Sends a message with piggybacked records.
    pub(super) fn send(&mut self, now: i64, message: Message, to: SocketAddr, out: &mut Outbox) {
        let records = self.piggybacked_records(now, to);
        out.push((
            to,
            Packet {
                message,
                records,
                view_tag: Some(self.agreement.tag),
            },
        ));
    }

    /// The records for a packet: the node's own, that of the receiver unless it is alive, so that it can refute it, and those
    /// that were piggybacked least often.
    fn piggybacked_records(&mut self, now: i64, to: SocketAddr) -> Vec<MemberRecord> {
        let mut records = vec![self.own];
        let of_receiver = self
            .members
            .get(&to)
            .map(|member| member.record_with_age(now));
        records.extend(of_receiver.filter(|record| record.state != MemberState::Alive));
        let capacity = self
            .config
            .max_piggybacked_records
            .saturating_sub(records.len());
        for address in self.least_transmitted(to).into_iter().take(capacity) {
            if let Some(member) = self.members.get_mut(&address) {
                member.transmissions += 1;
                records.push(member.record_with_age(now));
            }
        }
        records
    }

    /// The members whose records are still to be piggybacked, other than the receiver, least often transmitted first.
    fn least_transmitted(&self, receiver: SocketAddr) -> Vec<SocketAddr> {
        let max_transmissions = RETRANSMIT_MULTIPLIER * (self.group_size_log2() as u32 + 1);
        let mut candidates: Vec<(u32, SocketAddr)> = self
            .members
            .values()
            .filter(|member| {
                member.transmissions < max_transmissions && member.record.member != receiver
            })
            .map(|member| (member.transmissions, member.record.member))
            .collect();
        candidates.sort_unstable();
        candidates.into_iter().map(|(_, address)| address).collect()
    }
}
