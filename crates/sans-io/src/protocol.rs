//! What an event loop on sockets asks of a controller without I/O, whichever protocol that speaks.

use crate::{ConnId, DatagramSocket, Effect, Listener};
use std::net::SocketAddr;

/// Why a connection could not be established, or broke.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// Nobody listens there: nothing that was sent has arrived.
    ConnectRefused,
    /// The other side did not answer the connect, or cannot be reached. Nothing that was sent has arrived.
    PeerUnreachable,
    /// This machine could not even try to connect: it lacks ports, descriptors, memory or a route. That tells nothing of the
    /// other side, and may pass.
    ConnectNotAttempted,
    /// An established connection broke, or one broke as it was being established.
    ConnectionLost,
}

/// Something that happened on a socket.
#[derive(Clone, Copy, Debug)]
pub enum IoEvent<'a> {
    /// A connection that was opened is established.
    Connected(ConnId),
    /// Bytes were received; at most as many as [`Protocol::read_capacity`] allowed.
    Received(ConnId, &'a [u8]),
    /// The other side has closed, though bytes of it may not have been read yet.
    PeerClosing(ConnId),
    /// The other side sends no more, and all that it sent was received.
    ReadClosed(ConnId),
    /// A connection could not be established, or broke.
    ConnectionFailed {
        /// The connection.
        id: ConnId,
        /// It broke as something was being written.
        writing: bool,
        /// What kind of failure it is.
        cause: FailureCause,
        /// The system's error message.
        reason: &'a str,
    },
    /// A datagram was received, and from where.
    Datagram(DatagramSocket, SocketAddr, &'a [u8]),
}

/// A controller without system calls: events go in, with the time in microseconds; effects come out.
pub trait Protocol {
    /// The process has started. Called first, once.
    fn handle_start(&mut self, now: i64);
    /// A connection was accepted. None if there is no capacity, and the socket is to be closed. Read from it at once.
    fn accept(&mut self, now: i64, listener: Listener) -> Option<ConnId>;
    /// The events of a poll follow, or timers: the first call of each turn of the event loop.
    fn begin_iteration(&mut self, now: i64) {
        let _ = now;
    }
    /// What is reported until the next call of this kind may have arrived as early as `since`: the process was suspended or busy, or
    /// could not look, from then on.
    fn set_earliest_arrival(&mut self, since: i64) {
        let _ = since;
    }
    /// Something happened on a socket.
    fn handle_io(&mut self, now: i64, event: IoEvent<'_>);
    /// A datagram that was to be sent could not be, for a fault of this machine.
    fn handle_datagram_send_failure(&mut self, now: i64, socket: DatagramSocket) {
        let _ = (now, socket);
    }
    /// A graceful shutdown was requested.
    fn begin_shutdown(&mut self, now: i64);
    /// Listening for clients, whose end was asked for by [`Effect::StopListening`], has ended: all connections that were made
    /// until then have been accepted.
    fn handle_listening_stopped(&mut self, now: i64);
    /// The output of a connection was decided some time ago, as the process was suspended since. Whatever of it depends on the time,
    /// and has not begun to be written, is to be taken back and decided anew, once what has come meanwhile is known.
    fn withdraw_stale_output(&mut self, now: i64, id: ConnId) {
        let _ = (now, id);
    }
    /// How many bytes may be received on a connection now. After none, [`Effect::ResumeReading`] says when some may.
    fn read_capacity(&mut self, id: ConnId) -> usize;
    /// What is to be written to a connection.
    fn output(&mut self, id: ConnId) -> &[u8];
    /// So many bytes of it were written.
    fn bytes_written(&mut self, now: i64, id: ConnId, count: usize);
    /// When [`Protocol::handle_timers`] is next wanted.
    fn next_timer_at(&self) -> Option<i64>;
    /// Lets the time pass, once all events until now were handled.
    fn handle_timers(&mut self, now: i64);
    /// Takes what is to be done outside, of all that happened since the last call; `into` is emptied first.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
}
