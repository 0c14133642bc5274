//! Which controllers there are.
//!
//! The module's budget for cold engines and its shares rest on the number of gateways and on their own numbers among
//! them. [`Node`] finds both out, in the manner of SWIM (Das, Gupta, Motivala 2002): in each period one member is probed,
//! by way of others if it does not answer; one that answers nobody is suspected, and may deny it; what is learned rides on
//! the probes.
//!
//! Believing in too few is the dangerous side, as all together then push over a cold engine. So a member that fell silent
//! counts on until an operator or a quorum lets it go ([`EvictionPolicy`]), only one that said goodbye is forgotten at once, and a
//! fresh node counts at least as many as it was told to expect until it has listened for [`MembershipConfig::settle`] and more than half
//! of them answer. A view has a number and a digest ([`ViewTag`]), which ride on each packet.
//!
//! No I/O, no clock, no globals. [`authentication`] makes datagrams of packets and opens them.
#![forbid(unsafe_code)]
#![warn(missing_docs)]

pub mod authentication;
pub mod messages;
mod node;

pub use node::{
    eviction_packet, Counters, EvictionPolicy, MemberRecord, MemberState, MemberStatus, MembershipChange,
    MembershipConfig, MembershipEvent, Message, Node, Packet, View, ViewTag,
};
