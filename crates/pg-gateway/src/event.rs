//! What a controller is told.

use std::net::SocketAddr;
use wheelfield_endpoints::News;
use wheelfield_gossip::seal::Keys;
use wheelfield_sans_io::ConnId;

/// Something that happened outside.
#[derive(Clone, Debug)]
pub enum Happened<'a> {
    /// The process starts; comes first, once.
    Started,
    /// A connect is through.
    Connected(ConnId),
    /// Bytes came; at most as many as [`crate::Gate::room`] allowed.
    Received(ConnId, &'a [u8]),
    /// The other side has closed, though bytes of it may still be outside.
    Closing(ConnId),
    /// The other side will send no more, and all it sent was told.
    Ended(ConnId),
    /// A connect failed, or a connection broke; `writing` as something was to go.
    Broken {
        /// Which.
        id: ConnId,
        /// As something was to go.
        writing: bool,
        /// The system's words.
        reason: &'a str,
    },
    /// A datagram of other controllers' words.
    Words(SocketAddr, &'a [u8]),
    /// A datagram of the gossip.
    Gossip(SocketAddr, &'a [u8]),
    /// Word of the engine files.
    Files(News),
    /// The file of the gossip's keys was read.
    Keys(Result<Keys, String>),
    /// The controller is asked to stop.
    Stop,
    /// The capture that is held in memory is asked for.
    Keep,
}
