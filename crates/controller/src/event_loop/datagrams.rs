//! Datagram sockets: they receive in bounded batches and send without retries.

use super::{IoContext, FIRST_DATAGRAM_TOKEN};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use wheelfield_net::is_transient;
use wheelfield_sans_io::{DatagramSocket, IoEvent};

/// Maximum number of datagrams received from a socket in one iteration of the event loop.
const MAX_DATAGRAMS_PER_ITERATION: usize = 512;
/// Maximum size of a UDP datagram, and thus of a response of the name service.
const MAX_DATAGRAM_BYTES: usize = 64 << 10;

/// Number of receive errors in one iteration after which receiving is delayed. Fewer errors do not delay it, since each may
/// concern a different datagram.
const MAX_ERRORS_PER_ITERATION: usize = 16;
/// Delay before datagrams are received again after errors, in microseconds.
const RETRY_DELAY_US: i64 = 5_000;

/// A datagram socket of the controller.
pub(super) struct DatagramPort {
    name: DatagramSocket,
    socket: UdpSocket,
    buffer: Vec<u8>,
    /// Datagrams may be queued that the edge-triggered poll will not report again.
    is_pending: bool,
    /// When to receive again after errors. The poll does not report this.
    retry_at: Option<i64>,
}

impl DatagramPort {
    /// Registers a datagram socket with the poll registry.
    pub fn register(
        name: DatagramSocket,
        mut socket: UdpSocket,
        registry: &Registry,
    ) -> io::Result<DatagramPort> {
        registry.register(&mut socket, token_of(name), Interest::READABLE)?;
        Ok(DatagramPort {
            name,
            socket,
            buffer: vec![0; MAX_DATAGRAM_BYTES],
            is_pending: false,
            retry_at: None,
        })
    }

    /// Returns whether datagrams may be queued that the poll will not report again.
    pub fn is_pending(&self) -> bool {
        self.is_pending
    }

    /// Returns when to call [`DatagramPort::receive_pending`], if errors have delayed receiving.
    pub fn retry_at(&self) -> Option<i64> {
        self.retry_at
    }

    /// Returns which datagram socket of the controller this is.
    pub fn name(&self) -> DatagramSocket {
        self.name
    }

    /// Returns the token of the socket's events.
    pub fn token(&self) -> Token {
        token_of(self.name)
    }

    /// Returns the address that the socket is bound to.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Sends a datagram and returns whether the system accepted it. There is no retry, since datagrams may be lost anyway.
    pub fn send(&self, datagram: &[u8], address: SocketAddr) -> bool {
        self.socket.send_to(datagram, address).is_ok()
    }

    /// Receives datagrams that an earlier iteration left in the socket, or retries after errors once the delay has passed.
    pub fn receive_pending(&mut self, io: &mut IoContext<'_>) {
        let is_retry_due = self.retry_at.is_some_and(|at| at <= io.now);
        if self.is_pending || is_retry_due {
            self.receive(io);
        }
    }

    /// Receives the queued datagrams, up to the limit of one iteration.
    pub fn receive(&mut self, io: &mut IoContext<'_>) {
        self.is_pending = true;
        self.retry_at = None;
        let mut errors = 0;
        for _ in 0..MAX_DATAGRAMS_PER_ITERATION {
            match self.socket.recv_from(&mut self.buffer) {
                Ok((length, from)) => {
                    let event = IoEvent::Datagram(self.name, from, &self.buffer[..length]);
                    io.protocol.handle_io(io.now, event);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => {
                    self.is_pending = false;
                    return;
                }
                Err(e) if e.kind() == ErrorKind::Interrupted => {}
                // An undeliverable datagram that was sent earlier is reported as an error of the socket here. The next call
                // receives the next datagram.
                Err(e) if !is_transient(&e) && errors < MAX_ERRORS_PER_ITERATION => errors += 1,
                Err(_) => return self.delay_receive(io),
            }
        }
    }

    /// Delays receiving, because a call that failed for lack of memory would fail again immediately.
    fn delay_receive(&mut self, io: &mut IoContext<'_>) {
        self.is_pending = false;
        self.retry_at = Some(io.now + RETRY_DELAY_US);
        io.protocol
            .handle_datagram_receive_failure(io.now, self.name);
    }
}

fn token_of(name: DatagramSocket) -> Token {
    Token(FIRST_DATAGRAM_TOKEN + name as usize)
}
