//! Load reports exchanged with other controllers, one datagram each.

use std::net::SocketAddr;
use wheelfield::interface::{EngineId, PeerLoadReport};
use wheelfield_settings::{decode_load_reports, encode_load_reports, MAX_MESSAGE_BYTES};

/// The other controllers.
#[derive(Debug, Default)]
pub struct Peers {
    others: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Takes the addresses of all controllers by number, the one at `own_index` being this controller, and an address that
    /// reaches all of them, where there is one.
    pub fn new(
        controllers: &[SocketAddr],
        own_index: usize,
        broadcast: Option<SocketAddr>,
    ) -> Peers {
        let others = controllers
            .iter()
            .enumerate()
            .filter(|(index, _)| *index != own_index);
        Peers {
            others: others.map(|(_, address)| *address).collect(),
            broadcast,
        }
    }

    /// Encodes a message of load reports.
    pub fn encode(&self, reports: &[PeerLoadReport]) -> Vec<u8> {
        encode_load_reports(reports)
    }

    /// The addresses that a message is sent to.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        match self.broadcast {
            Some(address) => vec![address],
            None => self.others.clone(),
        }
    }

    /// Decodes the reports on known engines in a message; `None` if there are none, if it does not come from another
    /// controller, or if it is too long.
    pub fn decode<'a>(
        &self,
        from: SocketAddr,
        known_engines: impl Iterator<Item = &'a EngineId> + Clone,
        datagram: &[u8],
    ) -> Option<Vec<PeerLoadReport>> {
        if !self.others.contains(&from) || datagram.len() > MAX_MESSAGE_BYTES {
            return None;
        }
        Some(decode_load_reports(known_engines, datagram)).filter(|reports| !reports.is_empty())
    }
}
