//! Load reports to and from the other controllers over UDP.

use crate::effect_queue::{DatagramSocket, Effect, EffectQueue};
use crate::peers::{DatagramError, ReportReceiver, ReportSender};
use std::collections::BTreeSet;
use std::net::SocketAddr;
use tracing::debug;
use wheelfield::interface::PeerLoadReport;
use wheelfield_config::Config;

/// The other controllers.
#[derive(Debug)]
pub(crate) struct Peering {
    addresses: Vec<SocketAddr>,
    known_addresses: BTreeSet<SocketAddr>,
    sender: ReportSender,
    receiver: ReportReceiver,
    /// Datagrams that were malformed, stale or from an unknown sender.
    pub dropped: u64,
}

impl Peering {
    /// `own_address` is where this controller listens; `now` is the time of its start, which is its
    /// incarnation.
    pub fn new(config: &Config, own_address: Option<SocketAddr>, now: i64) -> Option<Peering> {
        let peers = config.peers.as_ref()?;
        let addresses: Vec<SocketAddr> =
            peers.addresses.iter().copied().filter(|address| Some(*address) != own_address).collect();
        let (index, count) = (config.settings.gateway_index as u32, config.settings.gateway_count as u32);
        Some(Peering {
            known_addresses: addresses.iter().copied().collect(),
            addresses,
            sender: ReportSender::new(index, now as u64),
            receiver: ReportReceiver::new(count, index),
            dropped: 0,
        })
    }

    /// Sends load reports to all other controllers.
    pub fn send_reports(&mut self, reports: &[PeerLoadReport], out: &mut EffectQueue) {
        for datagram in self.sender.datagrams(reports) {
            for address in &self.addresses {
                out.push(Effect::Send(DatagramSocket::Peers, *address, datagram.clone()));
            }
        }
    }

    /// Decodes a datagram.
    pub fn receive(&mut self, from: SocketAddr, datagram: &[u8]) -> Option<Vec<PeerLoadReport>> {
        let received = if self.known_addresses.contains(&from) {
            self.receiver.receive(datagram)
        } else {
            Err(DatagramError::UnknownSender)
        };
        received
            .inspect_err(|why| {
                self.dropped += 1;
                debug!(%from, %why, "peer datagram dropped");
            })
            .ok()
    }
}
