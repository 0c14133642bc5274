//! The interface of a sans-I/O controller to the event loop that owns its sockets, for any client protocol.

use crate::{ConnId, DatagramSocket, Effect, Listener};
use std::net::SocketAddr;

/// The cause for which a connection could not be established or was lost.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub enum FailureCause {
    /// The peer refused the connection because nothing listens at the address. No data has reached it.
    ConnectRefused,
    /// The peer did not answer the connection attempt or cannot be reached. No data has reached it.
    PeerUnreachable,
    /// This host could not attempt the connection, for lack of ports, file descriptors, memory or a route. This does not indicate
    /// a failure of the peer and may be temporary.
    ConnectNotAttempted,
    /// An established connection was lost, or a connection broke while it was being established.
    ConnectionLost,
}

/// An event on a socket.
#[derive(Clone, Copy, Debug)]
pub enum IoEvent<'a> {
    /// A connection that the controller opened is established.
    Connected(ConnId),
    /// Bytes were received on a connection, no more than [`Protocol::read_capacity`] allowed.
    Received(ConnId, &'a [u8]),
    /// The peer has closed its sending side or the connection has failed. Some of the bytes that the peer sent may not have been
    /// read yet. May be reported several times for a connection.
    PeerClosing(ConnId),
    /// The peer has closed its sending side, and everything that it sent has been received.
    ReadClosed(ConnId),
    /// A connection could not be established, or was lost.
    ConnectionFailed {
        /// The connection.
        id: ConnId,
        /// Whether the error occurred while connecting or writing; `false` if it occurred while reading.
        writing: bool,
        /// The cause of the failure.
        cause: FailureCause,
        /// The error message of the operating system.
        reason: &'a str,
    },
    /// A datagram was received from an address on a datagram socket.
    Datagram(DatagramSocket, SocketAddr, &'a [u8]),
}

/// A controller that makes no system calls. The event loop calls it with I/O events and the current time in microseconds, and
/// performs the effects that it emits.
pub trait Protocol {
    /// Handles the start of the process. This is the first call and occurs once.
    fn handle_start(&mut self, now: i64);
    /// Takes over an accepted connection and returns its id; the event loop then starts to read from it at once. Returns `None`
    /// if the controller has no capacity for the connection; the event loop must then close the socket.
    fn accept(&mut self, now: i64, listener: Listener) -> Option<ConnId>;
    /// Begins an iteration of the event loop. Called before the I/O events and timers of the iteration.
    fn begin_iteration(&mut self, now: i64) {
        let _ = now;
    }
    /// Sets the time since which the events that are reported from now until the next such call may have been waiting. It is
    /// earlier than the time of those events if the process was suspended, busy or unable to poll.
    fn set_earliest_arrival(&mut self, since: i64) {
        let _ = since;
    }
    /// Handles an event on a socket.
    fn handle_io(&mut self, now: i64, event: IoEvent<'_>);
    /// Handles a read on a connection that failed for the moment, because the system is short of memory. It is repeated until it
    /// succeeds or the connection fails; data may have arrived meanwhile.
    fn handle_read_delay(&mut self, now: i64, id: ConnId) {
        let _ = (now, id);
    }
    /// Handles the failure to send a datagram because of an error on this host.
    fn handle_datagram_send_failure(&mut self, now: i64, socket: DatagramSocket) {
        let _ = (now, socket);
    }
    /// Handles a failure to receive datagrams because of an error on this host. Receiving is retried, and datagrams may be waiting.
    fn handle_datagram_receive_failure(&mut self, now: i64, socket: DatagramSocket) {
        let _ = (now, socket);
    }
    /// Begins a graceful shutdown. The controller emits [`Effect::Stopped`] when it is complete.
    fn begin_shutdown(&mut self, now: i64);
    /// Called after [`Effect::StopListening`] once listening for clients has stopped and all connections that were made until
    /// then have been accepted.
    fn handle_listening_stopped(&mut self, now: i64);
    /// Withdraws output of a connection that is out of date, because the process was suspended after the output was produced.
    /// The controller must withdraw output that depends on the time and of which nothing was written yet, and decide on it
    /// again after the events that arrived meanwhile were handled.
    fn withdraw_stale_output(&mut self, now: i64, id: ConnId) {
        let _ = (now, id);
    }
    /// Returns how many bytes may be received on a connection now. After a result of zero, the controller must emit
    /// [`Effect::ResumeReading`] when there is capacity again.
    fn read_capacity(&mut self, id: ConnId) -> usize;
    /// Returns the bytes that remain to be written to a connection.
    fn output(&mut self, id: ConnId) -> &[u8];
    /// Removes the first `count` bytes of the output of a connection, which were written to the socket.
    fn bytes_written(&mut self, now: i64, id: ConnId, count: usize);
    /// Returns the time at which [`Protocol::handle_timers`] must be called next; `None` if no timer is pending.
    fn next_timer_at(&self) -> Option<i64>;
    /// Handles the timers that are due. Called after all events that were reported until `now` were handled.
    fn handle_timers(&mut self, now: i64);
    /// Moves the effects that were emitted since the last call to `into`, and drops the previous content of `into`.
    fn take_effects(&mut self, into: &mut Vec<Effect>);
}
