//! Membership events and counters.

use std::net::SocketAddr;

/// Maximum number of pending events; further ones are dropped, as the state that they report can also be queried.
const MAX_PENDING_EVENTS: usize = 1_024;

/// A change of a member's state.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub enum MembershipChange {
    /// The member became known.
    Joined,
    /// The member does not acknowledge probes.
    Suspected,
    /// The member refuted a suspicion.
    Refuted,
    /// The suspicion timed out and the member was declared dead.
    DeclaredDead,
    /// The member is alive again: a new incarnation at its address, or the one that was declared dead.
    Rejoined,
    /// The member left, or an operator evicted it.
    Left,
    /// A quorum evicted the member.
    Evicted,
    /// A later incarnation of this node's own address exists, and this node took one later still. A single occurrence means
    /// that the clock was set back; repeated ones mean that a second process uses the address.
    Superseded,
}

/// A membership change, with the member whose record caused it.
#[derive(Clone, Copy, Debug, PartialEq, Eq, Hash)]
pub struct MembershipEvent {
    /// The member that changed.
    pub member: SocketAddr,
    /// The change.
    pub change: MembershipChange,
    /// The sender of the record; this node's own address if it detected the change itself.
    pub source: SocketAddr,
}

/// Counters since the start of the node.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq, Hash)]
pub struct Counters {
    /// Suspicions raised by this node.
    pub suspicions: u64,
    /// Suspicions, raised by any node, that were refuted.
    pub refutations: u64,
    /// Members declared dead by this node.
    pub declared_dead: u64,
    /// Members rejected because [`crate::MembershipConfig::max_members`] were known.
    pub rejected_at_capacity: u64,
    /// Number of times that no packet arrived for several periods, so that this node was isolated or paused.
    pub isolations: u64,
    /// Suspicions that this node refuted on behalf of a member whose packets it receives.
    pub proxy_refutations: u64,
    /// Reports of a death or leave that contradicted what this node observed.
    pub uncorroborated: u64,
    /// Members evicted by a quorum.
    pub evicted: u64,
    /// Number of times that a later incarnation of this node's own address appeared. More than one means that two processes use
    /// the address.
    pub superseded: u64,
}

/// Events not yet taken by the caller, bounded by [`MAX_PENDING_EVENTS`].
#[derive(Clone, Debug, Default, PartialEq, Eq, Hash)]
pub(crate) struct EventQueue(Vec<MembershipEvent>);

impl EventQueue {
    /// Appends an event; drops it if the queue is full.
    pub(crate) fn push(&mut self, event: MembershipEvent) {
        if self.0.len() < MAX_PENDING_EVENTS {
            self.0.push(event);
        }
    }

    /// Removes and returns all events, oldest first.
    pub(crate) fn take(&mut self) -> Vec<MembershipEvent> {
        std::mem::take(&mut self.0)
    }
}
