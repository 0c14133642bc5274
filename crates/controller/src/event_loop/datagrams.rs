//! Datagram sockets: receives in bounded batches, sends without retry.

use super::{IoContext, DATAGRAM_TOKENS};
use mio::net::UdpSocket;
use mio::{Interest, Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use wheelfield_sans_io::{DatagramSocket, IoEvent};

/// Datagrams received in one turn.
const DATAGRAMS_PER_TURN: usize = 512;
/// Longest datagram that is read whole, in bytes; the rest of a longer one is cut off, which makes it unreadable. An answer
/// of a name service has 8,000 bytes.
const MAX_DATAGRAM_BYTES: usize = 16 << 10;

/// A datagram socket of the controller.
pub(super) struct DatagramPort {
    name: DatagramSocket,
    socket: UdpSocket,
}

impl DatagramPort {
    /// Registers a datagram socket with the poll.
    pub fn register(
        name: DatagramSocket,
        mut socket: UdpSocket,
        registry: &Registry,
    ) -> io::Result<DatagramPort> {
        registry.register(&mut socket, token_of(name), Interest::READABLE)?;
        Ok(DatagramPort { name, socket })
    }

    /// Which datagram socket of the controller this is.
    pub fn name(&self) -> DatagramSocket {
        self.name
    }

    /// The token of its events.
    pub fn token(&self) -> Token {
        token_of(self.name)
    }

    /// The address it is bound to.
    pub fn local_address(&self) -> Option<SocketAddr> {
        self.socket.local_addr().ok()
    }

    /// Sends a datagram. One that cannot be sent now is lost, as any datagram may be.
    pub fn send(&self, datagram: &[u8], address: SocketAddr) {
        let _ = self.socket.send_to(datagram, address);
    }

    /// Receives the datagrams that wait, up to the limit of one turn.
    pub fn receive(&mut self, io: &mut IoContext<'_>) {
        let mut buffer = [0; MAX_DATAGRAM_BYTES];
        for _ in 0..DATAGRAMS_PER_TURN {
            match self.socket.recv_from(&mut buffer) {
                Ok((length, from)) => {
                    let event = IoEvent::Datagram(self.name, from, &buffer[..length]);
                    io.protocol.handle_io(io.now, event);
                }
                Err(e) if e.kind() == ErrorKind::WouldBlock => return,
                // An earlier datagram that reached no receiver shows as an error of this socket.
                Err(_) => {}
            }
        }
        // More may wait: registering again has the poll report them.
        let _ = io
            .registry
            .reregister(&mut self.socket, token_of(self.name), Interest::READABLE);
    }
}

fn token_of(name: DatagramSocket) -> Token {
    Token(DATAGRAM_TOKENS + name as usize)
}
