//! Binding of a controller's listening and datagram sockets.

use crate::error::ControllerError;
use mio::net::{TcpListener, UdpSocket};
use std::net::SocketAddr;
use wheelfield_net::listen;

/// Binds a listening socket.
///
/// # Errors
/// Returns [`ControllerError::Listen`] if the socket cannot be bound.
pub(crate) fn bind_listener(
    address: SocketAddr,
    backlog: u32,
) -> Result<TcpListener, ControllerError> {
    listen(address, backlog).map_err(|source| ControllerError::Listen { address, source })
}

/// Binds a datagram socket. `purpose` names in an error message what the socket receives.
///
/// # Errors
/// Returns [`ControllerError::DatagramSocket`] if the socket cannot be bound.
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
