//! Non-blocking TCP sockets that remember what the system last reported of them.
//!
//! The poll reports edges: that a socket has become readable or writable is told once, and again only after a call has said
//! that it would block. So nothing but that answer may be taken for the end of what can be read or written.

use mio::event::Event;
use mio::net::TcpStream;
use mio::unix::SourceFd;
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;
use std::os::fd::AsRawFd as _;
use std::time::Duration;

/// Idle time after which a peer is probed, so that the connection of one that vanished ends.
const KEEPALIVE_IDLE: Duration = Duration::from_secs(60);
/// Interval of the probes of a peer that does not answer.
const KEEPALIVE_INTERVAL: Duration = Duration::from_secs(15);
/// What a non-blocking connect returns at first (EINPROGRESS of Linux).
const CONNECT_IN_PROGRESS: i32 = 115;
/// The system has no buffer space now (ENOBUFS of Linux).
const NO_BUFFER_SPACE: i32 = 105;

/// Whether an error of a read, write or registration says that the system lacks memory now: nothing was done, nothing is lost, and
/// the call may be repeated.
pub fn is_transient(error: &io::Error) -> bool {
    error.kind() == io::ErrorKind::OutOfMemory || error.raw_os_error() == Some(NO_BUFFER_SPACE)
}

/// A connected or connecting socket without buffers.
#[derive(Debug)]
pub struct Socket {
    stream: TcpStream,
    readable: bool,
    writable: bool,
    /// The peer has closed, though bytes of it may still wait to be read.
    closing: bool,
    /// All that the peer sent was read, and no more comes.
    ended: bool,
    connected: bool,
    /// The token to be registered with, where that has failed so far.
    unregistered: Option<Token>,
}

impl Socket {
    /// Takes an accepted connection and registers it for reading and writing. Where that fails, it can be used all the same, and
    /// [`Socket::ensure_registered`] is to be called until it succeeds.
    pub fn from_accepted(stream: TcpStream, registry: &Registry, token: Token) -> Socket {
        let mut socket = Socket::new(stream, true, token);
        let _ = socket.ensure_registered(registry);
        socket
    }

    /// Begins to connect; [`Socket::check_connected`] says when that is done.
    ///
    /// # Errors
    /// If the system refuses at once.
    pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Socket> {
        Socket::register(TcpStream::connect(address)?, registry, token)
    }

    /// Begins to connect from a source address, as one address has ports for a bounded number of connections only.
    ///
    /// # Errors
    /// If the system refuses at once.
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
                    && e.raw_os_error() != Some(CONNECT_IN_PROGRESS) =>
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

    /// Registers the socket, if that has failed so far. What has arrived meanwhile is reported then.
    ///
    /// # Errors
    /// If it cannot be registered now either.
    pub fn ensure_registered(&mut self, registry: &Registry) -> io::Result<()> {
        if let Some(token) = self.unregistered {
            let interests = Interest::READABLE | Interest::WRITABLE;
            // By its descriptor: a stream of mio cannot be registered a second time after it has failed once.
            registry.register(&mut SourceFd(&self.stream.as_raw_fd()), token, interests)?;
            self.unregistered = None;
        }
        Ok(())
    }

    /// Has the next read and write ask the system, as the poll reports nothing of a socket that is not registered.
    pub fn mark_ready(&mut self) {
        self.readable = true;
        self.writable = true;
    }

    /// Whether the poll reports its events.
    pub fn is_registered(&self) -> bool {
        self.unregistered.is_none()
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
            closing: false,
            ended: false,
            connected,
            unregistered: Some(token),
        }
    }

    /// Takes note of an event of the poll.
    pub fn handle_event(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
        self.closing |= event.is_read_closed() || event.is_error();
    }

    /// Whether the socket is connected; finishes a connect under way where the system has done so.
    ///
    /// # Errors
    /// Why the connect failed.
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

    /// Reads once, without waiting. Only the system's word that nothing is left ends that the socket is readable: the poll
    /// reports what arrives once, and a read may return less than there is. Returns the number of bytes; zero if there are none now, or no more will come
    /// ([`Socket::is_read_finished`]).
    ///
    /// # Errors
    /// Why the connection broke; the socket is of no further use, unless the error is transient ([`is_transient`]).
    pub fn read(&mut self, buffer: &mut [u8]) -> io::Result<usize> {
        while self.is_readable() && !buffer.is_empty() {
            match self.stream.read(buffer) {
                Ok(0) => self.ended = true,
                Ok(length) => return Ok(length),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.readable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.ended = !is_transient(&e);
                    return Err(e);
                }
            }
        }
        Ok(0)
    }

    /// Writes once, without waiting. Returns the number of bytes; zero if none can be written now.
    ///
    /// # Errors
    /// Why the connection broke; the socket is of no further use, unless the error is transient ([`is_transient`]).
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

    /// Whether more may be read now.
    pub fn is_readable(&self) -> bool {
        self.readable && !self.ended
    }

    /// Whether more may be written now.
    pub fn is_writable(&self) -> bool {
        self.writable
    }

    /// Whether the peer sends no more and all it sent was read.
    pub fn is_read_finished(&self) -> bool {
        self.ended
    }

    /// Whether the peer has closed, though bytes of it may still wait to be read.
    pub fn is_peer_closed(&self) -> bool {
        self.closing
    }

    /// The address of the peer.
    ///
    /// # Errors
    /// If it is not connected.
    pub fn peer_address(&self) -> io::Result<SocketAddr> {
        self.stream.peer_addr()
    }

    /// Closes the connection; what is not read or written is lost.
    pub fn close(self, registry: &Registry) {
        let _ = registry.deregister(&mut SourceFd(&self.stream.as_raw_fd()));
    }

    /// Closes the connection so that the peer sees it reset.
    pub fn reset(self, registry: &Registry) {
        let _ = registry.deregister(&mut SourceFd(&self.stream.as_raw_fd()));
        let _ = socket2::SockRef::from(&self.stream).set_linger(Some(Duration::ZERO));
    }
}

impl std::os::fd::AsFd for Socket {
    /// The descriptor, for reading socket options.
    fn as_fd(&self) -> std::os::fd::BorrowedFd<'_> {
        self.stream.as_fd()
    }
}
