//! The interface of a sans-I/O controller to the event loop that owns its sockets, for any client protocol.

use crate::{ConnId, DatagramSocket, Effect, Listener};
use std::net::SocketAddr;

/// Why a connection could not be established, or was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The peer refused the connection, as it has no listener. No data has reached it.
    ConnectRefused,
    /// The peer did not answer the connection attempt or cannot be reached. No data has reached it.
    PeerUnreachable,
    /// This host could not attempt the connection, for lack of ports, file descriptors, memory or a route. This says nothing
    /// about the peer and may be temporary.
    ConnectNotAttempted,
    /// An established connection was lost, or a connection broke while it was being established.
    ConnectionLost,
}

/// An event on a socket.
#[derive(Clone, Copy, Debug)]
pub enum IoEvent<'a> {
    /// A connection that the controller opened is established.
    Connected(ConnId),
    /// Bytes were received, no more than [`Protocol::read_capacity`] allowed.
    Received(ConnId, &'a [u8]),
    /// The peer has closed the connection. Some of the bytes it sent may not have been read yet.
    PeerClosing(ConnId),
    /// The peer has closed its sending side, and everything it sent has been received.
    ReadClosed(ConnId),
    /// A connection could not be established, or was lost.
    ConnectionFailed {
        /// The connection.
        id: ConnId,
        /// Whether the error occurred during a write.
        writing: bool,
        /// The kind of failure.
        cause: FailureCause,
        /// The error message of the operating system.
        reason: &'a str,
    },
    /// A datagram was received from an address.
    Datagram(DatagramSocket, SocketAddr, &'a [u8]),
}

/// A controller that makes no system calls: it receives events with the time in microseconds, and emits effects.
pub trait Protocol {
    /// The process has started. This is the first call and occurs once.
    fn handle_start(&mut self, now: i64);
    /// A connection was accepted. Returns `None` if there is no capacity, and the event loop must then close the socket;
    /// otherwise it starts to read from the connection at once.
    fn accept(&mut self, now: i64, listener: Listener) -> Option<ConnId>;
    /// Called first in each iteration of the event loop, before its I/O events and timers.
    fn begin_iteration(&mut self, now: i64) {
        let _ = now;
    }
    /// Events reported from now until the next such call may have arrived as early as `since`, because the process has been
    /// suspended, busy or unable to poll since then.
    fn set_earliest_arrival(&mut self, since: i64) {
        let _ = since;
    }
    /// Handles an event on a socket.
    fn handle_io(&mut self, now: i64, event: IoEvent<'_>);
    /// A datagram could not be sent because of a local error.
    fn handle_datagram_send_failure(&mut self, now: i64, socket: DatagramSocket) {
        let _ = (now, socket);
    }
    /// A graceful shutdown was requested.
    fn begin_shutdown(&mut self, now: i64);
    /// Listening for clients has stopped after [`Effect::StopListening`], and all connections made until then have been
    /// accepted.
    fn handle_listening_stopped(&mut self, now: i64);
    /// The process was suspended after the output of a connection was produced. Output that depends on the time and has not
    /// begun to be written must be withdrawn, and decided again once the events that arrived meanwhile have been handled.
    fn withdraw_stale_output(&mut self, now: i64, id: ConnId) {
        let _ = (now, id);
    }
    /// How many bytes may be received on a connection now. After a result of zero, [`Effect::ResumeReading`] signals that there
    /// is capacity again.
    fn read_capacity(&mut self, id: ConnId) -> usize;
    /// The bytes to be written to a connection.
    fn output(&mut self, id: ConnId) -> &[u8];
    /// `count` bytes of the output of a connection were written.
    fn bytes_written(&mut self, now: i64, id: ConnId, count: usize);
    /// When [`Protocol::handle_timers`] must be called next.
    fn next_timer_at(&self) -> Option<i64>;
    /// Handles the timers that are due. Called after all events until `now` were handled.
    fn handle_timers(&mut self, now: i64);
    /// Moves the effects emitted since the last call to `into`, whose previous content is dropped.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
}
