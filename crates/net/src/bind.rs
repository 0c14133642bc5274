//! Opens listening sockets and datagram sockets.

use mio::net::{TcpListener, UdpSocket};
use socket2::{Domain, Protocol, Type};
use std::io;
use std::net::SocketAddr;

/// Opens a non-blocking listening socket. With port 0 the system chooses the port. At most `backlog` connections wait to be
/// accepted.
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

/// Opens a non-blocking datagram socket. With port 0 the system chooses the port.
///
/// # Errors
/// If the address cannot be bound.
pub fn bind_datagram_socket(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}
