//! Exchange of load reports between controllers. Each message is one datagram.

use std::net::SocketAddr;
use wheelfield::interface::{EngineId, PeerLoadReport};
use wheelfield_settings::{decode_load_reports, encode_load_reports, MAX_MESSAGE_BYTES};

/// Addresses of the other controllers, and the codec of the messages exchanged with them.
#[derive(Debug, Default)]
pub struct Peers {
    others: Vec<SocketAddr>,
    broadcast: Option<SocketAddr>,
}

impl Peers {
    /// Creates the list of peers from the addresses of all controllers. `own_index` is the position of this controller, and
    /// `broadcast` is an address that reaches all controllers, if there is one.
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

    /// Encodes a message that contains these load reports.
    pub fn encode(&self, reports: &[PeerLoadReport]) -> Vec<u8> {
        encode_load_reports(reports)
    }

    /// Returns the addresses to send a message to: the broadcast address if there is one, otherwise all other controllers.
    pub fn recipients(&self) -> Vec<SocketAddr> {
        match self.broadcast {
            Some(address) => vec![address],
            None => self.others.clone(),
        }
    }

    /// Decodes the load reports of known engines in a message. Returns `None` if the message contains none, does not come from
    /// another controller or is too long.
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
