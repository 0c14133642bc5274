//! Words to and from the other controllers.

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
    known: BTreeSet<SocketAddr>,
    speaker: ReportSender,
    listener: ReportReceiver,
    /// Datagrams that were none, old, or a stranger's.
    pub dropped: u64,
}

impl Peering {
    /// `own` is where this one listens; `now` the time of its start.
    pub fn new(config: &Config, own: Option<SocketAddr>, now: i64) -> Option<Peering> {
        let peers = config.peers.as_ref()?;
        let addresses: Vec<SocketAddr> =
            peers.addresses.iter().copied().filter(|a| Some(*a) != own).collect();
        let (index, count) = (config.settings.gateway_index as u32, config.settings.gateway_count as u32);
        Some(Peering {
            known: addresses.iter().copied().collect(),
            addresses,
            speaker: ReportSender::new(index, now as u64),
            listener: ReportReceiver::new(count, index),
            dropped: 0,
        })
    }

    /// Tells all others.
    pub fn tell(&mut self, words: &[PeerLoadReport], out: &mut EffectQueue) {
        for datagram in self.speaker.datagrams(words) {
            for to in &self.addresses {
                out.push(Effect::Send(DatagramSocket::Peers, *to, datagram.clone()));
            }
        }
    }

    /// What a datagram tells.
    pub fn hear(&mut self, from: SocketAddr, datagram: &[u8]) -> Option<Vec<PeerLoadReport>> {
        let heard = if self.known.contains(&from) {
            self.listener.receive(datagram)
        } else {
            Err(DatagramError::UnknownSender)
        };
        heard
            .inspect_err(|why| {
                self.dropped += 1;
                debug!(%from, %why, "message dropped");
            })
            .ok()
    }
}
