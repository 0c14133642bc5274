//! Non-blocking TCP sockets that track their readiness.
//!
//! [`mio::Poll`] is edge-triggered: a socket that becomes readable or writable is reported once, and again only after a read or
//! write has failed with `WouldBlock`. A socket is therefore treated as ready until a call fails with `WouldBlock`.

use mio::event::Event;
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};
use rustix::event::{PollFd, PollFlags, Timespec};
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd as _;
use std::time::Duration;

/// Idle time before the first TCP keepalive probe, which detects peers that vanished without closing the connection.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);
/// Interval between TCP keepalive probes to a peer that does not answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// Timeout of a call that does not wait.
const NO_WAIT: Timespec = Timespec {
    tv_sec: 0,
    tv_nsec: 0,
};
/// Linux error number of a non-blocking connect that has not completed yet.
const EINPROGRESS: i32 = 115;
/// Linux error number for a temporary lack of buffer space.
const ENOBUFS: i32 = 105;

/// Returns whether a read, write or registration failed because the operating system is temporarily short of memory. Such a call
/// had no effect, no data is lost, and the call can be retried.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(ENOBUFS)
}

/// A TCP socket that is connected, or for which a connect is in progress. It has no buffers; [`crate::Stream`] adds them.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    /// Whether a read may return data. Cleared when a read fails with `WouldBlock`.
    readable: bool,
    /// Whether a write may succeed. Cleared when a write fails with `WouldBlock`.
    writable: bool,
    /// Whether the peer has closed its sending side or the connection has failed; received bytes may not have been read yet.
    peer_closed: bool,
    /// Whether nothing more can be read: the end of the stream was reached, or a read failed with an error that is not transient.
    read_finished: bool,
    /// Whether the connection is established.
    connected: bool,
    /// The token to register the socket with; `None` once the registration has succeeded.
    pending_registration: Option<Token>,
}

impl Socket {
    /// Wraps an accepted connection and registers it for reading and writing. If the registration fails, the socket can be used
    /// nevertheless, and the caller has to repeat [`Socket::ensure_registered`] until it succeeds; see [`Socket::mark_ready`].
    pub fn from_accepted(stream: TcpStream, registry: &Registry, token: Token) -> Socket {
        let mut socket = Socket::new(stream, true, token);
        let _ = socket.ensure_registered(registry);
        socket
    }

    /// Starts to connect to `address`; [`Socket::check_connected`] returns whether the connection is established.
    ///
    /// # Errors
    /// If the connect cannot be started or the socket cannot be registered.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Socket> {
        Socket::register(TcpStream::connect(address)?, registry, token)
    }

    /// Starts to connect to `address` from the address `source`. The number of connections to one destination is limited by the
    /// ports of a source address, so several source addresses allow more connections.
    ///
    /// # Errors
    /// If the source address cannot be bound, the connect cannot be started or the socket cannot be registered.
    pub fn connect_from(
        source: SocketAddr,
        address: SocketAddr,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Socket> {
        let socket = socket2::Socket::new(
            Domain::for_address(address),
            Type::STREAM,
            Some(Protocol::TCP),
        )?;
        socket.set_nonblocking(true)?;
        socket.bind(&source.into())?;
        match socket.connect(&address.into()) {
            Err(e)
                if e.kind() != io::ErrorKind::WouldBlock
                    && e.raw_os_error() != Some(EINPROGRESS) =>
            {
                return Err(e)
            }
            _ => {}
        }
        Socket::register(TcpStream::from_std(socket.into()), registry, token)
    }

    fn register(stream: TcpStream, registry: &Registry, token: Token) -> io::Result<Socket> {
        let mut socket = Socket::new(stream, false, token);
        socket.ensure_registered(registry)?;
        Ok(socket)
    }

    /// Registers the socket with the poll unless it is registered already. The poll then also reports data that arrived before
    /// the registration.
    ///
    /// # Errors
    /// If the registration fails.
    pub fn ensure_registered(&mut self, registry: &Registry) -> io::Result<()> {
        if let Some(token) = self.pending_registration {
            let interests = Interest::READABLE | Interest::WRITABLE;
            // Uses the file descriptor, because a `mio` stream can't be registered again after its registration has failed.
            registry.register(&mut SourceFd(&self.stream.as_raw_fd()), token, interests)?;
            self.pending_registration = None;
        }
        Ok(())
    }

    /// Marks the socket as readable and writable, so that the next read and the next write make a system call. The caller needs
    /// this to retry on a socket that is not registered, because the poll does not report its events.
    pub fn mark_ready(&mut self) {
        self.readable = true;
        self.writable = true;
    }

    /// Returns whether the socket is registered with the poll.
    pub fn is_registered(&self) -> bool {
        self.pending_registration.is_none()
    }

    fn new(stream: TcpStream, connected: bool, token: Token) -> Socket {
        let _ = stream.set_nodelay(true);
        let keepalive = socket2::TcpKeepalive::new()
            .with_time(KEEPALIVE_IDLE)
            .with_interval(KEEPALIVE_INTERVAL);
        let _ = socket2::SockRef::from(&stream).set_tcp_keepalive(&keepalive);
        Socket {
            stream,
            readable: connected,
            writable: connected,
            peer_closed: false,
            read_finished: false,
            connected,
            pending_registration: Some(token),
        }
    }

    /// Updates the readiness of the socket from an event of the poll.
    pub fn handle_event(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
        self.peer_closed |= event.is_read_closed() || event.is_error();
    }

    /// Asks the operating system whether the peer has closed its sending side or the connection has failed, which the poll may not
    /// have reported yet. If it can't be asked, the poll reports it later.
    pub fn check_peer_closed(&mut self) -> bool {
        let closed = PollFlags::RDHUP | PollFlags::HUP | PollFlags::ERR;
        let mut entry = [PollFd::new(&self.stream, PollFlags::RDHUP)];
        let has_events = rustix::event::poll(&mut entry, Some(&NO_WAIT));
        if has_events.is_ok_and(|count| count > 0) && entry[0].revents().intersects(closed) {
            self.peer_closed = true;
        }
        self.peer_closed
    }

    /// Returns whether the connection is established. If a connect is in progress and the socket is writable, asks the
    /// operating system for its result.
    ///
    /// # Errors
    /// The error with which the connect failed.
    pub fn check_connected(&mut self) -> io::Result<bool> {
        if self.connected || !self.writable {
            return Ok(self.connected);
        }
        if let Some(error) = self.stream.take_error()? {
            return Err(error);
        }
        match self.stream.peer_addr() {
            Ok(_) => {
                self.connected = true;
                self.readable = true;
                Ok(true)
            }
            Err(e) if e.kind() == io::ErrorKind::NotConnected => {
                self.writable = false;
                Ok(false)
            }
            Err(e) => Err(e),
        }
    }

    /// Reads once without blocking. Returns the number of bytes read; zero if there is nothing to read now or nothing more will
    /// arrive ([`Socket::is_read_finished`]). The socket stays readable until a read fails with `WouldBlock`, because the poll
    /// reports arriving data once and a read may return only part of it.
    ///
    /// # Errors
    /// The error that broke the connection. The socket can't be used any more, unless the error is transient ([`is_transient`]).
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.is_readable() && !buffer.is_empty() {
            match self.stream.read(buffer) {
                Ok(0) => self.read_finished = true,
                Ok(length) => return Ok(length),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.read_finished = !is_transient(&e);
                    return Err(e);
                }
            }
        }
        Ok(0)
    }

    /// Writes once without blocking. Returns the number of bytes written; zero if nothing can be written now.
    ///
    /// # Errors
    /// The error that broke the connection. The socket can't be used any more, unless the error is transient ([`is_transient`]).
    pub fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        while self.writable && !bytes.is_empty() {
            match self.stream.write(bytes) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(length) => return Ok(length),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(0)
    }

    /// Returns whether a read may return data now.
    pub fn is_readable(&self) -> bool {
        self.readable && !self.read_finished
    }

    /// Returns whether a write may succeed now.
    pub fn is_writable(&self) -> bool {
        self.writable
    }

    /// Returns whether nothing more can be read: the peer has closed its sending side and all its data was read, or a read has
    /// failed with an error that is not transient.
    pub fn is_read_finished(&self) -> bool {
        self.read_finished
    }

    /// Returns whether the peer has closed its sending side or the connection has failed. Received bytes may not have been read
    /// yet.
    pub fn is_peer_closed(&self) -> bool {
        self.peer_closed
    }

    /// Returns the address of the peer.
    ///
    /// # Errors
    /// If the socket is not connected.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Closes the connection. Data that was not yet read or written is lost.
    pub fn close(self, registry: &Registry) {
        let _ = registry.deregister(&mut SourceFd(&self.stream.as_raw_fd()));
    }

    /// Closes the connection with a TCP reset, which discards data that was not yet sent.
    pub fn reset(self, registry: &Registry) {
        let _ = registry.deregister(&mut SourceFd(&self.stream.as_raw_fd()));
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl std::os::fd::AsFd for Socket {
    /// Returns the file descriptor, with which the caller can read socket options.
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.stream.as_fd()
    }
}
