//! Words between controllers: one datagram each, of the module's words alone.

use std::net::SocketAddr;
use wheelfield::interface::{EngineId, PeerLoadReport};
use wheelfield_settings::{message, words, LONGEST_MESSAGE};

/// The other controllers.
#[derive(Debug, Default)]
pub struct Peers {
    others: Vec<SocketAddr>,
    all: Option<SocketAddr>,
}

impl Peers {
    /// All controllers by number, the one of this `index` is this one; `all` reaches every one.
    pub fn new(peers: &[SocketAddr], index: usize, all: Option<SocketAddr>) -> Peers {
        let others = peers.iter().enumerate().filter(|(n, _)| *n != index).map(|(_, at)| *at).collect();
        Peers { others, all }
    }

    /// What is to be sent, and to whom.
    pub fn tell(&self, words: &[PeerLoadReport]) -> (Vec<u8>, Vec<SocketAddr>) {
        let to = self.all.map_or_else(|| self.others.clone(), |all| vec![all]);
        (message(words), to)
    }

    /// What was told of the engines known; none if it came from no other controller, or is too long.
    pub fn hear<'a>(
        &self,
        from: SocketAddr,
        known: impl Iterator<Item = &'a EngineId> + Clone,
        bytes: &[u8],
    ) -> Option<Vec<PeerLoadReport>> {
        let ours = self.others.contains(&from) && bytes.len() <= LONGEST_MESSAGE;
        ours.then(|| words(known, bytes)).filter(|words| !words.is_empty())
    }
}
