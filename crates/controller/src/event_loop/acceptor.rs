//! Listening sockets: accepts connections in bounded batches.

use super::{ConnectionSockets, IoContext, Remaining, LISTENER_TOKENS};
use mio::net::TcpListener;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use tracing::warn;
use wheelfield_sans_io::Listener;

/// Connections accepted in one batch; the rest waits for the next turn.
const ACCEPTS_PER_BATCH: usize = 256;
/// Batches accepted when listening ends: together more than any backlog holds.
const BATCHES_AT_SHUTDOWN: usize = 32;
/// Delay until the next accept after the system had no descriptor or memory for one, in microseconds.
const ACCEPT_RETRY_DELAY_US: i64 = 50_000;

/// A listening socket and when to accept from it next.
pub(super) struct Acceptor {
    socket: TcpListener,
    listener: Listener,
    /// When to accept without a further event of the poll, which reports a backlog only once.
    accept_at: Option<i64>,
    /// The last accept failed, and that was logged.
    is_failing: bool,
}

impl Acceptor {
    /// Registers a listening socket with the poll.
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
            is_failing: false,
        })
    }

    /// Which listener of the controller this is.
    pub fn listener(&self) -> Listener {
        self.listener
    }

    /// The token of its events.
    pub fn token(&self) -> Token {
        token_of(self.listener)
    }

    /// The address it listens on.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// When to accept next; `None` until the poll reports a connection.
    pub fn accept_at(&self) -> Option<i64> {
        self.accept_at
    }

    /// Has connections accepted in the turn of `now`.
    pub fn schedule_accept(&mut self, now: i64) {
        self.accept_at = Some(now);
    }

    /// Accepts one batch of the connections that wait.
    pub fn accept_batch(
        &mut self,
        connections: &mut ConnectionSockets,
        io: &mut IoContext<'_>,
    ) -> Remaining {
        self.accept_at = None;
        for _ in 0..ACCEPTS_PER_BATCH {
            match self.socket.accept() {
                Ok((stream, _)) => {
                    self.is_failing = false;
                    if let Some(id) = io.protocol.accept(io.now, self.listener) {
                        connections.add_accepted(id, stream, io);
                    }
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return Remaining::Nothing,
                // The peer closed the connection before it was accepted.
                Err(e)
                    if matches!(
                        e.kind(),
                        ErrorKind::ConnectionAborted | ErrorKind::Interrupted
                    ) => {}
                Err(error) => {
                    self.retry_later(&error, io.now);
                    return Remaining::Nothing;
                }
            }
        }
        // The poll reports the backlog only once, so the next turn accepts without an event.
        self.accept_at = Some(io.now);
        Remaining::Possibly
    }

    /// Accepts all that wait and removes the socket from the poll. Closing a socket resets the connections that the system
    /// has already completed for it, so none of them may be left in the backlog.
    pub fn accept_all_and_deregister(
        &mut self,
        connections: &mut ConnectionSockets,
        io: &mut IoContext<'_>,
    ) {
        for _ in 0..BATCHES_AT_SHUTDOWN {
            if self.accept_batch(connections, io) == Remaining::Nothing {
                break;
            }
        }
        let _ = io.registry.deregister(&mut self.socket);
    }

    /// Leaves the waiting connections in the backlog for a moment, as the system has no descriptors or memory for them.
    fn retry_later(&mut self, error: &io::Error, now: i64) {
        if !std::mem::replace(&mut self.is_failing, true) {
            warn!(%error, listener = ?self.listener, "accept failed; retrying");
        }
        self.accept_at = Some(now + ACCEPT_RETRY_DELAY_US);
    }
}

fn token_of(listener: Listener) -> Token {
    Token(LISTENER_TOKENS + listener as usize)
}
