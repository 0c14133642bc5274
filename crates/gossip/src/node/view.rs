//! The membership view of a node: the member count to act on, whether it is settled, and whether it agrees with the views
//! of other members.

use super::Node;
use crate::random::mix;
use crate::{MemberRecord, MemberState, ViewTag};
use std::net::SocketAddr;

/// The membership view that a node bases its limits and quota shares on.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct View {
    /// Number of members to divide limits by, this node included.
    pub count: usize,
    /// Index of this node among the counted members in ascending order of addresses, from 0.
    pub index: usize,
    /// Number of members that acknowledge probes, this node included.
    pub alive: usize,
    /// Whether the node has listened long enough and suspects no member.
    pub is_settled: bool,
    /// Whether more than half of the counted members are alive.
    pub has_quorum: bool,
    /// Version and digest of the counted members.
    pub tag: ViewTag,
}

/// State of a member as seen by a node, for operators.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub struct MemberStatus {
    /// The record of the member.
    pub record: MemberRecord,
    /// Whether the member is part of the view.
    pub is_counted: bool,
    /// When a packet of the member last arrived, in microseconds; none if never.
    pub last_heard_at: Option<i64>,
    /// The view that the member last reported.
    pub view_tag: Option<ViewTag>,
}

/// Progress of a fresh node towards relying on its own view alone.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Settling {
    started_at: i64,
    /// A packet of another member arrived, or there is no other member to contact.
    pub(super) has_contact: bool,
    /// When the last new member became known.
    pub(super) last_joined_at: i64,
    /// The settling time has passed and no new member became known during the last two synchronizations.
    pub(super) has_listened: bool,
    /// More than half of the expected members answered at some time; since then the expected number is ignored.
    is_confirmed: bool,
}

impl Settling {
    pub(super) fn new(now: i64) -> Settling {
        Settling {
            started_at: now,
            has_contact: false,
            last_joined_at: now,
            has_listened: false,
            is_confirmed: false,
        }
    }
}

/// The node's own view tag, and whether the tags of other members agree with it.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct ViewAgreement {
    pub(super) tag: ViewTag,
    /// Since when all received tags differ from the node's own.
    diverged_since: Option<i64>,
}

impl ViewAgreement {
    /// The view of a node that only counts itself.
    pub(super) fn new(own: SocketAddr) -> ViewAgreement {
        ViewAgreement {
            tag: ViewTag {
                version: 0,
                digest: member_digest(own),
            },
            diverged_since: None,
        }
    }

    /// Updates the tag after a member was added to or removed from the counted members.
    fn toggle_member(&mut self, member: SocketAddr) {
        self.tag.version += 1;
        self.tag.digest ^= member_digest(member);
    }

    fn compare(&mut self, now: i64, received: ViewTag) {
        if received.digest == self.tag.digest {
            self.diverged_since = None;
        } else {
            self.diverged_since.get_or_insert(now);
        }
    }
}

impl Node {
    /// The current view.
    pub fn view(&self) -> View {
        // A single pass, as simulations evaluate the views of large groups at every event.
        let (mut counted, mut alive, mut index, mut has_suspects) = (1, 1, 0, false);
        for member in self.members.values() {
            counted += usize::from(member.is_counted);
            index += usize::from(member.is_counted && member.record.member < self.own.member);
            alive += usize::from(member.record.state == MemberState::Alive);
            has_suspects |= member.is_suspect();
        }
        let is_reliable = self.settling.has_listened && self.settling.is_confirmed;
        View {
            count: if is_reliable {
                counted
            } else {
                counted.max(self.config.expected_members)
            },
            index,
            alive,
            is_settled: is_reliable && !has_suspects,
            has_quorum: 2 * alive > counted,
            tag: self.agreement.tag,
        }
    }

    /// Whether a member is part of the view.
    pub fn is_counted(&self, member: &SocketAddr) -> bool {
        self.members
            .get(member)
            .is_some_and(|member| member.is_counted)
    }

    /// The state of all known members except this node.
    pub fn member_statuses(&self, now: i64) -> impl Iterator<Item = MemberStatus> + '_ {
        self.members.values().map(move |member| MemberStatus {
            record: member.record_with_age(now),
            is_counted: member.is_counted,
            last_heard_at: member.last_heard_at,
            view_tag: member.view_tag,
        })
    }

    /// For how long all received view tags have differed from the node's own, in microseconds; zero while one agrees.
    pub fn diverged_for(&self, now: i64) -> i64 {
        self.agreement
            .diverged_since
            .map_or(0, |since| (now - since).max(0))
    }

    /// Adds a member to the counted ones or removes it.
    pub(super) fn set_counted(&mut self, address: SocketAddr, is_counted: bool) {
        let Some(member) = self.members.get_mut(&address) else {
            return;
        };
        if member.is_counted != is_counted {
            member.is_counted = is_counted;
            self.agreement.toggle_member(address);
        }
    }

    /// Records the view tag that a member reported.
    pub(super) fn compare_views(&mut self, now: i64, from: SocketAddr, tag: Option<ViewTag>) {
        let Some((member, tag)) = self.members.get_mut(&from).zip(tag) else {
            return;
        };
        member.view_tag = Some(tag);
        self.agreement.compare(now, tag);
    }

    /// Updates whether the node has listened for long enough and enough of the expected members answered.
    pub(super) fn update_settling(&mut self, now: i64) {
        // If no new member joined between two synchronizations, all members are known.
        let quiet_time = self.config.sync_interval + self.config.probe_period;
        let is_quiet = now - self.settling.last_joined_at > quiet_time;
        let is_settling_over = now - self.settling.started_at >= self.config.settling_time;
        self.settling.has_listened |= self.settling.has_contact && is_quiet && is_settling_over;
        // Nodes that restart during a partition must not take their side for the whole group, nor, while the partition heals,
        // the members learned so far for all members.
        self.settling.is_confirmed |=
            self.settling.has_listened && is_quiet && self.has_expected_majority();
    }

    fn has_expected_majority(&self) -> bool {
        2 * self.view().alive > self.config.expected_members
    }
}

/// A member's contribution to the view digest (FNV-1a, then splitmix). Part of the wire format: all builds must agree.
fn member_digest(member: SocketAddr) -> u64 {
    const FNV_OFFSET_BASIS: u64 = 0xcbf2_9ce4_8422_2325;
    const FNV_PRIME: u64 = 0x0100_0000_01b3;
    let text = member.to_string();
    mix(text.bytes().fold(FNV_OFFSET_BASIS, |hash, byte| {
        (hash ^ u64::from(byte)).wrapping_mul(FNV_PRIME)
    }))
}
