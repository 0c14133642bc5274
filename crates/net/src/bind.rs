//! Opens TCP listening sockets and UDP sockets.

use mio::net::{TcpListener, UdpSocket};
use socket2::{Domain, Protocol, Type};
use std::io;
use std::net::SocketAddr;

/// Opens a non-blocking TCP listening socket. With port 0 the operating system chooses a free port. The operating system queues
/// at most about `backlog` connections that have not been accepted yet.
///
/// # Errors
/// If the address cannot be bound.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(
        Domain::for_address(address),
        Type::STREAM,
        Some(Protocol::TCP),
    )?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Opens a non-blocking UDP socket. With port 0 the operating system chooses a free port.
///
/// # Errors
/// If the address cannot be bound.
pub fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}
