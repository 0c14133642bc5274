//! Packets of the membership protocol and the records they carry.
//!
//! Packets are encoded with postcard, which is positional: the order of fields and enum variants is the wire format.

use serde::{Deserialize, Serialize};
use std::net::SocketAddr;

/// State of a member. Later variants take precedence over earlier ones of the same incarnation and refutation count.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum MemberState {
    /// The member acknowledges probes.
    Alive,
    /// The member does not acknowledge probes, and may refute the suspicion.
    Suspect,
    /// The suspicion timed out.
    Dead,
    /// The member left.
    Left,
}

/// What a node knows of a member. A later incarnation takes precedence, then a higher refutation count, then the state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct MemberRecord {
    /// The address at which the member is reached.
    pub member: SocketAddr,
    /// Incarnation of the process: its start time in microseconds of its own clock.
    pub incarnation: u64,
    /// Number of suspicions that this incarnation refuted.
    pub refutations: u32,
    /// State of the member.
    pub state: MemberState,
    /// Time spent in this state in milliseconds, rounded up; zero while the member is alive. It does not affect precedence.
    /// It lets all nodes forget a dead member at about the same time, so that no node learns of it again.
    pub state_age_ms: u32,
}

impl MemberRecord {
    /// The record of an incarnation that was never suspected.
    pub(crate) fn alive(member: SocketAddr, incarnation: u64) -> MemberRecord {
        MemberRecord {
            member,
            incarnation,
            refutations: 0,
            state: MemberState::Alive,
            state_age_ms: 0,
        }
    }

    /// The record with a state that was entered just now.
    pub(crate) fn entering(self, state: MemberState) -> MemberRecord {
        MemberRecord {
            state,
            state_age_ms: 0,
            ..self
        }
    }

    /// Whether this record takes precedence over another one of the same member.
    pub(crate) fn supersedes(&self, other: &MemberRecord) -> bool {
        self.precedence() > other.precedence()
    }

    fn precedence(&self) -> (u64, u32, MemberState) {
        (self.incarnation, self.refutations, self.state)
    }
}

/// The purpose of a packet. The numbers match acknowledgements to probes.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub enum Message {
    /// Requests an acknowledgement.
    Probe(u32),
    /// Acknowledges a probe.
    Ack(u32),
    /// Requests a probe of another member on behalf of the sender.
    IndirectProbe(u32, SocketAddr),
    /// Requests all records of the receiver.
    SyncRequest,
    /// Only carries records: a part of the answer to a [`Message::SyncRequest`], or changes.
    Update,
}

/// Identifies the set of counted members of a view.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct ViewTag {
    /// Version of the view at its holder; it increases by one with each change.
    pub version: u64,
    /// Digest of the counted members; equal at all nodes that count the same members.
    pub digest: u64,
}

/// A packet between nodes: a message and piggybacked records.
#[derive(Clone, Debug, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
pub struct Packet {
    /// The purpose.
    pub message: Message,
    /// The piggybacked records.
    pub records: Vec<MemberRecord>,
    /// The sender's view. Builds that only know the first datagram format neither send nor read it: it is encoded after the
    /// packet ([`crate::authentication`]).
    #[serde(skip)]
    pub view_tag: Option<ViewTag>,
}

/// An operator's eviction of an unreachable member, to be sent to any member: a leave in the member's name. A member that is
/// still alive refutes it as soon as it receives it.
pub fn eviction_packet(record: MemberRecord) -> Packet {
    Packet {
        message: Message::Update,
        records: vec![record.entering(MemberState::Left)],
        view_tag: None,
    }
}
