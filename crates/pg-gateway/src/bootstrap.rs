//! What a controller starts with.

use crate::fault_injection::FaultInjection;
use std::net::SocketAddr;
use wheelfield_capture::Recorder;
use wheelfield_gossip::authentication::Keys;
use wheelfield_recorder::DecisionEngine;

/// What a controller starts with.
pub struct PgGatewayOptions {
    /// The time, in microseconds.
    pub now: i64,
    /// Seed of what the gossip draws.
    pub seed: u64,
    /// Makes the keys to cancel: from the system where it must not be guessed.
    pub cancel_key_seed: [u8; 32],
    /// What decides.
    pub decision_engine: Box<dyn DecisionEngine>,
    /// Records what that is told and answers.
    pub recorder: Option<Recorder>,
    /// Where words of other controllers come in.
    pub peer_address: Option<SocketAddr>,
    /// Where gossip comes in, and its keys.
    pub gossip: Option<(SocketAddr, Keys)>,
    /// A fault for a judge to find.
    pub fault: Option<FaultInjection>,
}
