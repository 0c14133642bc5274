//! The member table: which records take precedence, which reports need corroboration, and when members are evicted.

use super::Node;
use crate::{EvictionPolicy, MemberRecord, MemberState, MembershipChange, ViewTag};
use std::net::SocketAddr;

/// Records of evicted members are kept for this many synchronization intervals, until all nodes have learned of the eviction.
const EVICTION_SPREAD_INTERVALS: i64 = 4;
/// A member heard more than this many periods after the time of its reported leave did not leave.
const LEAVE_TOLERANCE_PERIODS: i64 = 2;

/// Another member, as this node knows it. Times are in microseconds.
#[derive(Clone, Debug, PartialEq, Eq, Hash)]
pub(super) struct Member {
    pub(super) record: MemberRecord,
    /// When the member entered its state.
    pub(super) state_since: i64,
    /// How often the record was piggybacked since it changed.
    pub(super) transmissions: u32,
    /// When a packet of the member last arrived, not counting time in which this node was isolated.
    pub(super) last_contact_at: i64,
    /// When a packet of the member last arrived, if ever.
    pub(super) last_heard_at: Option<i64>,
    /// Whether the member is part of the view.
    pub(super) is_counted: bool,
    /// The view that the member last reported.
    pub(super) view_tag: Option<ViewTag>,
}

impl Member {
    pub(super) fn is_suspect(&self) -> bool {
        self.record.state == MemberState::Suspect
    }

    /// The record with the time spent in its state, as it is sent to others.
    pub(super) fn record_with_age(&self, now: i64) -> MemberRecord {
        let age = if self.record.state == MemberState::Alive {
            0
        } else {
            (now - self.state_since).max(0)
        };
        let age_ms = (age as u64).div_ceil(1_000);
        MemberRecord {
            state_age_ms: u32::try_from(age_ms).unwrap_or(u32::MAX),
            ..self.record
        }
    }
}

/// The event for a changed record; none if neither state nor incarnation changed.
fn change_between(before: &MemberRecord, after: &MemberRecord) -> Option<MembershipChange> {
    let is_restarted = before.incarnation != after.incarnation;
    if before.state == after.state && !is_restarted {
        return None;
    }
    Some(match (before.state, after.state) {
        (MemberState::Suspect, MemberState::Alive) if !is_restarted => MembershipChange::Refuted,
        (_, MemberState::Alive) => MembershipChange::Rejoined,
        (_, MemberState::Suspect) => MembershipChange::Suspected,
        (_, MemberState::Dead) => MembershipChange::DeclaredDead,
        (_, MemberState::Left) => MembershipChange::Left,
    })
}

impl Node {
    /// Merges a record, received from `source` or produced by this node.
    pub(super) fn merge_record(&mut self, now: i64, record: MemberRecord, source: SocketAddr) {
        if record.member == self.own.member {
            return self.merge_own_record(record, source);
        }
        let record = self.corroborate(now, record, source);
        let state_since = entered_state_at(now, &record);
        let is_expired = self.is_expired(now, &record);
        let is_known = self.members.contains_key(&record.member);
        // An expired record is not added, so it must not displace another one.
        let has_capacity = is_expired || is_known || self.make_capacity();
        match self.members.get(&record.member) {
            Some(member) if record.supersedes(&member.record) => {
                self.update_member(now, record, state_since, source);
            }
            Some(_) => {}
            None if is_expired => {}
            None if !has_capacity => self.counters.rejected_at_capacity += 1,
            None => self.add_member(now, record, state_since, source),
        }
    }

    /// Merges a record of this node itself, and refutes it if it says that the node is not alive.
    fn merge_own_record(&mut self, record: MemberRecord, source: SocketAddr) {
        // Only one process at a time holds an address, so a later incarnation is an earlier process, whose clock was set back
        // since. Other members ignore this node unless its own incarnation is later still.
        if record.incarnation > self.own.incarnation {
            self.own.incarnation = record.incarnation.saturating_add(1);
            self.own.refutations = 0;
            self.counters.superseded += 1;
            self.push_event(self.own.member, MembershipChange::Superseded, source);
            return;
        }
        if record.incarnation == self.own.incarnation
            && record.state != MemberState::Alive
            && self.own.state == MemberState::Alive
            && record.refutations >= self.own.refutations
        {
            self.counters.refutations += 1;
            self.own.refutations = record.refutations.saturating_add(1);
        }
    }

    fn update_member(
        &mut self,
        now: i64,
        record: MemberRecord,
        state_since: i64,
        source: SocketAddr,
    ) {
        let Some(member) = self.members.get_mut(&record.member) else {
            return;
        };
        let before = member.record;
        let is_restarted = record.incarnation != before.incarnation;
        if before.state == MemberState::Suspect && record.state == MemberState::Alive {
            self.counters.refutations += 1;
        }
        // The age of a death counts from its first declaration, whichever node forwards it; a suspicion times out at each node
        // separately.
        if before.state != record.state || is_restarted {
            member.state_since = if record.state == MemberState::Suspect {
                now
            } else {
                state_since
            };
        }
        if is_restarted {
            member.last_contact_at = now;
        }
        member.record = record;
        member.transmissions = 0;
        let is_reinstated = member.is_counted || is_restarted || record.state < MemberState::Dead;
        if let Some(change) = change_between(&before, &record) {
            self.push_event(record.member, change, source);
        }
        self.set_counted(
            record.member,
            is_reinstated && record.state != MemberState::Left,
        );
    }

    fn add_member(&mut self, now: i64, record: MemberRecord, state_since: i64, source: SocketAddr) {
        let is_direct = source == record.member;
        let member = Member {
            record,
            state_since,
            transmissions: 0,
            last_contact_at: if is_direct { now } else { state_since },
            last_heard_at: is_direct.then_some(now),
            is_counted: false,
            view_tag: None,
        };
        self.members.insert(record.member, member);
        self.set_counted(record.member, record.state != MemberState::Left);
        self.settling.last_joined_at = now;
        self.push_event(record.member, MembershipChange::Joined, source);
    }

    /// Reduces a report of another node that contradicts this node's observations to a suspicion.
    fn corroborate(&mut self, now: i64, record: MemberRecord, source: SocketAddr) -> MemberRecord {
        if source == self.own.member || !self.is_contradicted(now, &record) {
            return record;
        }
        self.counters.uncorroborated += 1;
        record.entering(MemberState::Suspect)
    }

    /// Whether a record reports the death of a member that this node has not suspected for half of the suspicion timeout, or the
    /// leave of a member whose packets arrived later than that. Nodes that were isolated or partitioned send such reports, so
    /// they may start a suspicion but not conclude one. Half of the timeout suffices for a node that learned of the suspicion
    /// soon after it was raised. A member that was heard after its reported leave was evicted by an operator on the other side
    /// of a partition.
    fn is_contradicted(&self, now: i64, record: &MemberRecord) -> bool {
        let Some(member) = self.members.get(&record.member) else {
            return false;
        };
        if member.record.incarnation != record.incarnation {
            return false;
        }
        match record.state {
            MemberState::Dead => {
                let was_suspected_long = member.is_suspect()
                    && 2 * (now - member.state_since) >= self.suspicion_timeout();
                member.record.state < MemberState::Dead && !was_suspected_long
            }
            MemberState::Left => {
                let tolerance = LEAVE_TOLERANCE_PERIODS * self.config.probe_period;
                let left_at = entered_state_at(now, record);
                member
                    .last_heard_at
                    .is_some_and(|heard_at| heard_at > left_at + tolerance)
            }
            MemberState::Alive | MemberState::Suspect => false,
        }
    }

    /// Whether a record is too old to be added: it is of a member that left, or of one that a quorum is about to evict.
    fn is_expired(&self, now: i64, record: &MemberRecord) -> bool {
        let is_old = now - entered_state_at(now, record) >= self.config.dead_retention;
        match record.state {
            MemberState::Left => is_old,
            MemberState::Dead => {
                self.config.eviction == EvictionPolicy::Quorum && is_old && self.view().has_quorum
            }
            MemberState::Alive | MemberState::Suspect => false,
        }
    }

    /// Whether one more member can be added; removes the member that has not been counted for the longest time if necessary.
    fn make_capacity(&mut self) -> bool {
        if self.members.len() >= self.config.max_members {
            let uncounted = self.members.values().filter(|member| !member.is_counted);
            let oldest = uncounted
                .min_by_key(|member| member.state_since)
                .map(|member| member.record.member);
            if let Some(oldest) = oldest {
                self.members.remove(&oldest);
            }
        }
        self.members.len() < self.config.max_members
    }

    /// Evicts members that have been dead for the retention time if a quorum may do so, and forgets uncounted members once all
    /// nodes have learned of their eviction.
    pub(super) fn evict_dead_members(&mut self, now: i64) {
        let retention = self.config.dead_retention;
        // A minority partition has no quorum and keeps counting the members of the other side.
        if self.config.eviction == EvictionPolicy::Quorum && self.view().has_quorum {
            let evicted = self.addresses_where(|member| {
                member.is_counted
                    && member.record.state == MemberState::Dead
                    && now - member.state_since >= retention
            });
            for member in evicted {
                self.counters.evicted += 1;
                self.set_counted(member, false);
                self.push_event(member, MembershipChange::Evicted, self.own.member);
            }
        }
        // Evicted members are remembered until all nodes have evicted them, so that they are not added again.
        let spread = self
            .config
            .sync_interval
            .saturating_mul(EVICTION_SPREAD_INTERVALS);
        self.members.retain(|_, member| {
            let remembered_for = match member.record.state {
                MemberState::Left => retention.max(spread),
                _ => retention + spread,
            };
            member.is_counted || now - member.state_since < remembered_for
        });
    }
}

/// When a member entered the state of a record received at `now`.
fn entered_state_at(now: i64, record: &MemberRecord) -> i64 {
    now - i64::from(record.state_age_ms) * 1_000
}
