//! What a shell on sockets asks of a controller without I/O, whichever protocol it speaks.

use crate::{ConnId, DatagramSocket, Effect, Listener};
use std::net::SocketAddr;

/// What sockets tell.
#[derive(Clone, Copy, Debug)]
pub enum IoEvent<'a> {
    /// A connect is through.
    Connected(ConnId),
    /// Bytes came; at most as many as [`Protocol::read_capacity`] allowed.
    Received(ConnId, &'a [u8]),
    /// The other side has closed, though bytes of it may still be outside.
    Closing(ConnId),
    /// The other side will send no more, and all it sent was told.
    Ended(ConnId),
    /// A connect failed, or a connection broke.
    Broken {
        /// Which.
        id: ConnId,
        /// As something was to go.
        writing: bool,
        /// Nobody listens there: nothing that was sent has arrived.
        refused: bool,
        /// The system's words.
        reason: &'a str,
    },
    /// A datagram, and from where.
    Datagram(DatagramSocket, SocketAddr, &'a [u8]),
}

/// A controller without system calls. What happened goes in, with the time; effects come out.
pub trait Protocol {
    /// The process starts; comes first, once.
    fn handle_start(&mut self, now: i64);
    /// Somebody has connected; none if there is no room, and the socket is to be closed. Read from it at once.
    fn accept(&mut self, now: i64, door: Listener) -> Option<ConnId>;
    /// Sockets told something.
    fn handle_io(&mut self, now: i64, what: IoEvent<'_>);
    /// The controller is asked to stop.
    fn begin_shutdown(&mut self, now: i64);
    /// Bytes that may come on a connection now. After none, [`Effect::ResumeReading`] tells when some may.
    fn read_capacity(&mut self, id: ConnId) -> usize;
    /// What is to go on a connection.
    fn output(&mut self, id: ConnId) -> &[u8];
    /// So much of it has gone.
    fn bytes_written(&mut self, now: i64, id: ConnId, n: usize);
    /// When [`Protocol::handle_timers`] is next wanted.
    fn next_timer_at(&self) -> Option<i64>;
    /// Lets the time pass, once all that happened until now is told.
    fn handle_timers(&mut self, now: i64);
    /// What is to be done outside, of all that happened since the last call; `into` is emptied first.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
}
