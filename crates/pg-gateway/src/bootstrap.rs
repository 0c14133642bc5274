//! What a gateway is created with.

use crate::fault_injection::FaultInjection;
use std::net::SocketAddr;
use wheelfield_capture::Recorder;
use wheelfield_gossip::authentication::Keys;
use wheelfield_recorder::DecisionEngine;

/// The inputs of a new gateway besides its configuration.
pub struct PgGatewayOptions {
    /// The current time, in microseconds.
    pub now: i64,
    /// Seed of the random choices of the gossip protocol.
    pub seed: u64,
    /// Seed of the generator of cancel keys. In production it comes from the operating system, since cancel
    /// keys must not be predictable.
    pub cancel_key_seed: [u8; 32],
    /// Makes the admission and routing decisions.
    pub decision_engine: Box<dyn DecisionEngine>,
    /// Records the inputs and instructions of the decision engine.
    pub recorder: Option<Recorder>,
    /// The local address that receives load reports of other controllers.
    pub peer_address: Option<SocketAddr>,
    /// The local address of the gossip socket, and the gossip keys.
    pub gossip: Option<(SocketAddr, Keys)>,
    /// A fault to inject, in builds with the feature `planted`.
    pub fault: Option<FaultInjection>,
}
