//! Listening sockets, from which connections are accepted in bounded batches.

use super::{ConnectionSockets, IoContext, Remaining, FIRST_LISTENER_TOKEN};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tracing::warn;
use wheelfield_sans_io::Listener;

/// Maximum number of connections accepted in one batch. The next iteration of the event loop accepts the rest.
const MAX_ACCEPTS_PER_BATCH: usize = 256;
/// Delay before the next accept after one failed for lack of a descriptor or memory, in microseconds.
const ACCEPT_RETRY_DELAY_US: i64 = 50_000;
/// The same delay while the listener closes, in microseconds. It is shorter because the connections in the backlog have
/// little time left.
const ACCEPT_RETRY_DELAY_WHILE_CLOSING_US: i64 = 5_000;
/// Maximum time for which a closing listener waits until its backlog is empty, in microseconds. No client waits longer.
const MAX_CLOSE_DELAY_US: i64 = 10_000_000;

/// A listening socket and the time of its next accept. Times are in microseconds.
pub(super) struct Acceptor {
    socket: TcpListener,
    listener: Listener,
    /// When to accept without a further event of the edge-triggered poll, which reports a backlog only once.
    accept_at: Option<i64>,
    /// Since when accepts have failed; the first failure was logged. The connections in the backlog may have arrived since
    /// then.
    failing_since: Option<i64>,
    /// When the close was requested.
    closing_since: Option<i64>,
}

impl Acceptor {
    /// Registers a listening socket with the poll registry.
    pub fn register(
        listener: Listener,
        mut socket: TcpListener,
        registry: &Registry,
    ) -> io::Result<Acceptor> {
        registry.register(&mut socket, token_of(listener), Interest::READABLE)?;
        Ok(Acceptor {
            socket,
            listener,
            accept_at: None,
            failing_since: None,
            closing_since: None,
        })
    }

    /// Returns which listener of the controller this is.
    pub fn listener(&self) -> Listener {
        self.listener
    }

    /// Returns the token of the socket's events.
    pub fn token(&self) -> Token {
        token_of(self.listener)
    }

    /// Returns the address that the socket listens on.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Returns when to accept next, or `None` until the poll reports a connection.
    pub fn accept_at(&self) -> Option<i64> {
        self.accept_at
    }

    /// Schedules an accept for the current iteration of the event loop.
    pub fn schedule_accept(&mut self, now: i64) {
        self.accept_at = Some(now);
    }

    /// Accepts one batch of connections from the backlog.
    pub fn accept_batch(
        &mut self,
        connections: &mut ConnectionSockets,
        io: &mut IoContext<'_>,
    ) -> Remaining {
        self.accept_at = None;
        let waiting_since = self.failing_since.unwrap_or(io.now);
        io.with_earliest_arrival(waiting_since, |io| self.accept_up_to_batch(connections, io))
    }

    fn accept_up_to_batch(
        &mut self,
        connections: &mut ConnectionSockets,
        io: &mut IoContext<'_>,
    ) -> Remaining {
        let mut accepted = 0;
        for _ in 0..MAX_ACCEPTS_PER_BATCH {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    accepted += 1;
                    if let Some(id) = io.protocol.accept(io.now, self.listener) {
                        connections.add_accepted(id, stream, io);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.failing_since = None;
                    return Remaining::Nothing;
                }
                Err(error) if affects_single_connection(error.kind()) => {
                    self.record_failure(&error, io.earliest_arrival);
                }
                Err(error) => {
                    self.retry_later(&error, io);
                    return Remaining::Possibly;
                }
            }
        }
        // The poll reports the backlog only once, so the next iteration accepts without an event.
        self.accept_at = match accepted {
            0 => Some(io.now + self.retry_delay()),
            _ => Some(io.now),
        };
        Remaining::Possibly
    }

    /// Begins to close the listener, which stays open until its backlog is empty. Closing a listening socket resets the
    /// established connections in its backlog, so all of them must be accepted first; the backlog counts as empty only once
    /// an accept reports that it would block.
    pub fn begin_close(&mut self, now: i64) {
        self.closing_since = self.closing_since.or(Some(now));
        self.accept_at = Some(now);
    }

    /// Returns whether the listener is closing and can be removed, because its last batch emptied the backlog or the maximum
    /// delay has passed.
    pub fn can_close(&self, last_batch: Remaining, now: i64) -> bool {
        let Some(since) = self.closing_since else {
            return false;
        };
        let is_overdue = now - since > MAX_CLOSE_DELAY_US;
        if is_overdue {
            warn!(listener = ?self.listener, "listener closed with connections still in its backlog");
        }
        last_batch == Remaining::Nothing || is_overdue
    }

    /// Removes the socket from the poll registry.
    pub fn deregister(&mut self, registry: &Registry) {
        let _ = registry.deregister(&mut self.socket);
    }

    /// Leaves the connections in the backlog and schedules a later accept, because the system is out of descriptors or memory.
    fn retry_later(&mut self, error: &io::Error, io: &IoContext<'_>) {
        self.record_failure(error, io.earliest_arrival);
        self.accept_at = Some(io.now + self.retry_delay());
    }

    fn retry_delay(&self) -> i64 {
        match self.closing_since {
            Some(_) => ACCEPT_RETRY_DELAY_WHILE_CLOSING_US,
            None => ACCEPT_RETRY_DELAY_US,
        }
    }

    /// Records a failure. The connections in the backlog arrived at `earliest_arrival` at the earliest.
    fn record_failure(&mut self, error: &io::Error, earliest_arrival: i64) {
        if self.failing_since.is_none() {
            warn!(%error, listener = ?self.listener, "accept failed; retrying");
            self.failing_since = Some(earliest_arrival);
        }
    }
}

/// Returns whether an error of an accept affects only one connection, such as a network error that is pending on it. The
/// next accept then takes the next connection.
fn affects_single_connection(kind: ErrorKind) -> bool {
    matches!(
        kind,
        ErrorKind::ConnectionAborted
            | ErrorKind::Interrupted
            | ErrorKind::HostUnreachable
            | ErrorKind::NetworkUnreachable
            | ErrorKind::NetworkDown
    )
}

fn token_of(listener: Listener) -> Token {
    Token(FIRST_LISTENER_TOKEN + listener as usize)
}
