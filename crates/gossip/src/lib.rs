//! Group membership of the controllers, by a SWIM-like gossip protocol without I/O.
//!
//! Work limits and quota shares depend on the number of controllers and on each controller's index among them. [`Node`]
//! determines both in the manner of SWIM (Das, Gupta, Motivala 2002): in each period it probes one member, directly and, if
//! no acknowledgement arrives, through other members. A member that does not acknowledge is suspected and may refute this;
//! membership records are piggybacked on the probes.
//!
//! Counting too few members is unsafe, because all controllers together would then exceed a limit. Therefore an
//! unreachable member stays counted until an operator or a quorum evicts it ([`EvictionPolicy`]), only a member that left is
//! removed at once, and a fresh node counts at least the expected number of members until it has listened for
//! [`MembershipConfig::settling_time`] and more than half of the expected members answer. Each view has a version and a digest
//! ([`ViewTag`]), which every packet carries.
//!
//! The crate performs no I/O, reads no clock and has no global state. [`authentication`] converts packets to authenticated
//! datagrams and back; [`messages`] limits the rate of application messages between members.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authentication;
mod config;
mod event;
pub mod messages;
mod node;
mod packet;
mod random;

pub use config::{EvictionPolicy, MembershipConfig};
pub use event::{Counters, MembershipChange, MembershipEvent};
pub use node::{MemberStatus, Node, Outbox, View};
pub use packet::{eviction_packet, MemberRecord, MemberState, Message, Packet, ViewTag};
