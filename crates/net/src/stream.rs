//! Non-blocking streams with bounded buffers.

use bytes::{Buf, BytesMut};
use mio::event::Event;
use mio::net::{TcpListener, TcpStream, UdpSocket};
use mio::{Interest, Registry, Token};
use socket2::{Domain, Protocol, Type};
use std::io::{self, Read, Write};
use std::net::SocketAddr;

/// A silent peer is asked after so long whether it is there.
const KEEPALIVE: std::time::Duration = std::time::Duration::from_secs(60);
/// What a connect without waiting answers (EINPROGRESS of Linux).
const IN_PROGRESS: i32 = 115;
/// Buffers of an idle stream keep no more than this.
const KEPT: usize = 2048;

/// A socket without buffers: what it is ready for, as the system last told.
#[derive(Debug)]
pub struct Socket {
    socket: TcpStream,
    readable: bool,
    writable: bool,
    closing: bool,
    ended: bool,
    connected: bool,
    /// Nothing was told of it yet: what it has, its end too, shows in reading alone.
    untold: bool,
}

impl Socket {
    /// Takes a socket over and registers it for all it does. `connected` is false for one still connecting.
    ///
    /// # Errors
    /// As the system tells.
    pub fn new(
        mut socket: TcpStream,
        connected: bool,
        registry: &Registry,
        token: Token,
    ) -> io::Result<Socket> {
        let _ = socket.set_nodelay(true);
        // A peer that vanished without a word is found out, and gives its place free.
        let keepalive = socket2::TcpKeepalive::new().with_time(KEEPALIVE).with_interval(KEEPALIVE / 4);
        let _ = socket2::SockRef::from(&socket).set_tcp_keepalive(&keepalive);
        registry.register(&mut socket, token, Interest::READABLE | Interest::WRITABLE)?;
        Ok(Socket {
            socket,
            readable: connected,
            writable: connected,
            closing: false,
            ended: false,
            connected,
            untold: connected,
        })
    }

    /// Takes note of what the system told.
    pub fn on(&mut self, event: &Event) {
        self.readable |= event.is_readable() || event.is_read_closed() || event.is_error();
        self.writable |= event.is_writable() || event.is_error();
        self.closing |= event.is_read_closed() || event.is_error();
    }

    /// Whether a connect under way is through.
    ///
    /// # Errors
    /// Why it failed.
    pub fn connected(&mut self) -> io::Result<bool> {
        if self.connected || !self.writable {
            return Ok(self.connected);
        }
        if let Some(error) = self.socket.take_error()? {
            return Err(error);
        }
        match self.socket.peer_addr() {
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

    /// Reads once what there is; zero if there is nothing now, or never more ([`Socket::ended`]).
    ///
    /// # Errors
    /// As the system tells; the socket is of no more use.
    pub fn read(&mut self, into: &mut [u8]) -> io::Result<usize> {
        while self.readable() && !into.is_empty() {
            match self.socket.read(into) {
                Ok(0) => self.ended = true,
                Ok(n) => {
                    // A short read has emptied the socket, unless its end waits behind. Guards against carrying on for one that
                    // had left before it was taken: the end is read at once.
                    self.readable = n == into.len() || self.closing || self.untold;
                    return Ok(n);
                }
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => {
                    (self.readable, self.untold) = (false, false)
                }
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => {
                    self.ended = true;
                    return Err(e);
                }
            }
        }
        Ok(0)
    }

    /// Writes once what can go; zero if nothing can now.
    ///
    /// # Errors
    /// As the system tells; the socket is of no more use.
    pub fn write(&mut self, from: &[u8]) -> io::Result<usize> {
        while self.writable && !from.is_empty() {
            match self.socket.write(from) {
                Ok(0) => return Err(io::ErrorKind::WriteZero.into()),
                Ok(n) => return Ok(n),
                Err(e) if e.kind() == io::ErrorKind::WouldBlock => self.writable = false,
                Err(e) if e.kind() == io::ErrorKind::Interrupted => {}
                Err(e) => return Err(e),
            }
        }
        Ok(0)
    }

    /// More could be read now.
    pub fn readable(&self) -> bool {
        self.readable && !self.ended
    }

    /// More could be written now.
    pub fn writable(&self) -> bool {
        self.writable
    }

    /// The other side will send no more, and all it sent was read.
    pub fn ended(&self) -> bool {
        self.ended
    }

    /// The other side has closed, though something it sent may still wait to be read.
    pub fn closing(&self) -> bool {
        self.closing
    }

    /// Whom it is connected to.
    ///
    /// # Errors
    /// As the system tells.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.socket.peer_addr()
    }

    /// Closes it: what is not read or written is lost. With `reset` the other side sees the connection break.
    pub fn close(mut self, registry: &Registry, reset: bool) {
        let _ = registry.deregister(&mut self.socket);
        if reset {
            let socket = socket2::SockRef::from(&self.socket);
            let _ = socket.set_linger(Some(std::time::Duration::ZERO));
        }
    }
}

/// A socket with what came and what is to go.
#[derive(Debug)]
pub struct Stream {
    socket: Socket,
    /// What came and was not taken yet.
    pub input: BytesMut,
    /// What is to go.
    pub output: BytesMut,
}

impl Stream {
    /// As [`Socket::new`].
    ///
    /// # Errors
    /// As the system tells.
    pub fn new(socket: TcpStream, connected: bool, registry: &Registry, token: Token) -> io::Result<Stream> {
        let socket = Socket::new(socket, connected, registry, token)?;
        Ok(Stream { socket, input: BytesMut::new(), output: BytesMut::new() })
    }

    /// Takes note of what the system told.
    pub fn on(&mut self, event: &Event) {
        self.socket.on(event);
    }

    /// As [`Socket::connected`].
    ///
    /// # Errors
    /// Why it failed.
    pub fn connected(&mut self) -> io::Result<bool> {
        self.socket.connected()
    }

    /// Reads what there is, until `limit` bytes wait to be taken. `scratch` is shared by all streams, so that idle
    /// ones hold nothing.
    ///
    /// # Errors
    /// As the system tells; the stream is of no more use.
    pub fn fill(&mut self, limit: usize, scratch: &mut [u8]) -> io::Result<usize> {
        let mut got = 0;
        while self.input.len() < limit {
            let room = scratch.len().min(limit - self.input.len());
            match self.socket.read(&mut scratch[..room])? {
                0 => break,
                n => {
                    self.input.extend_from_slice(&scratch[..n]);
                    got += n;
                }
            }
        }
        Ok(got)
    }

    /// Writes what it can; true once all has gone.
    ///
    /// # Errors
    /// As the system tells; the stream is of no more use.
    pub fn flush(&mut self) -> io::Result<bool> {
        while !self.output.is_empty() {
            match self.socket.write(&self.output)? {
                0 => break,
                n => self.output.advance(n),
            }
        }
        if self.output.is_empty() && self.output.capacity() > KEPT {
            self.output = BytesMut::new();
        }
        Ok(self.output.is_empty())
    }

    /// Gives back the memory of an emptied input.
    pub fn relax(&mut self) {
        if self.input.is_empty() {
            self.input = BytesMut::new();
        }
    }

    /// More could be read now.
    pub fn readable(&self) -> bool {
        self.socket.readable()
    }

    /// The other side will send no more, and all it sent was read.
    pub fn ended(&self) -> bool {
        self.socket.ended()
    }

    /// The other side has closed, though something it sent may still wait to be read.
    pub fn closing(&self) -> bool {
        self.socket.closing()
    }

    /// Whom it is connected to.
    ///
    /// # Errors
    /// As the system tells.
    pub fn peer(&self) -> io::Result<SocketAddr> {
        self.socket.peer()
    }

    /// As [`Socket::close`].
    pub fn close(self, registry: &Registry, reset: bool) {
        self.socket.close(registry, reset);
    }
}

/// A listening socket on a loopback address; port 0 lets the system choose.
///
/// # Errors
/// As the system tells.
pub fn listen(address: SocketAddr, backlog: u32) -> io::Result<TcpListener> {
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_reuse_address(true)?;
    socket.set_nonblocking(true)?;
    socket.bind(&address.into())?;
    socket.listen(i32::try_from(backlog).unwrap_or(i32::MAX))?;
    Ok(TcpListener::from_std(socket.into()))
}

/// Starts a connect; [`Stream::connected`] tells when it is through.
///
/// # Errors
/// As the system tells.
pub fn connect(address: SocketAddr, registry: &Registry, token: Token) -> io::Result<Stream> {
    Stream::new(TcpStream::connect(address)?, false, registry, token)
}

/// The same from a source address of the caller's, for more connections than one address has ports for.
///
/// # Errors
/// As the system tells.
pub fn connect_from(
    source: Option<SocketAddr>,
    address: SocketAddr,
    registry: &Registry,
    token: Token,
) -> io::Result<Stream> {
    let Some(source) = source else { return connect(address, registry, token) };
    let socket = socket2::Socket::new(Domain::for_address(address), Type::STREAM, Some(Protocol::TCP))?;
    socket.set_nonblocking(true)?;
    socket.bind(&source.into())?;
    match socket.connect(&address.into()) {
        Err(e) if e.kind() != io::ErrorKind::WouldBlock && e.raw_os_error() != Some(IN_PROGRESS) => {
            return Err(e)
        }
        _ => {}
    }
    Stream::new(TcpStream::from_std(socket.into()), false, registry, token)
}

/// A datagram socket.
///
/// # Errors
/// As the system tells.
pub fn datagrams(address: SocketAddr) -> io::Result<UdpSocket> {
    UdpSocket::bind(address)
}
