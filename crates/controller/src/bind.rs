//! Binds the sockets of a controller.

use crate::error::ControllerError;
use mio::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;
use wheelfield_net::listen;

/// Binds a listening socket.
///
/// # Errors
/// [`ControllerError::Listen`].
pub(crate) fn bind_listener(
    address: SocketAddr,
    backlog: u32,
) -> Result<TcpListener, ControllerError> {
    listen(address, backlog).map_err(|source| ControllerError::Listen { address, source })
}

/// Binds a datagram socket; `purpose` says in an error what it was to receive.
///
/// # Errors
/// [`ControllerError::DatagramSocket`].
pub(crate) fn bind_datagram_socket(
    address: SocketAddr,
    purpose: &'static str,
) -> Result<UdpSocket, ControllerError> {
    wheelfield_net::bind_datagram_socket(address).map_err(|source| {
        ControllerError::DatagramSocket {
            purpose,
            address,
            source,
        }
    })
}
