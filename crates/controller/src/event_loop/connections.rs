//! The sockets of a controller's connections: reads and writes as far as both the controller and the peer can take more.

use super::IoContext;
use mio::net::TcpStream;
use mio::{Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use wheelfield_net::{is_transient, Socket};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent};

/// Owners of connections within a controller ([`ConnId::owner`]).
const MAX_OWNERS: usize = 8;
/// Bytes read at a time, by whichever connection.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Delay until a call is repeated for which the system lacked memory, in microseconds.
const RETRY_DELAY_US: i64 = 5_000;

/// A connection in its slot.
struct Connection {
    id: ConnId,
    socket: Socket,
    /// Since when reads have failed for the moment, in microseconds: what comes after them may have arrived since then.
    reads_fail_since: Option<i64>,
}

/// All connections, by owner and slot. Their number is bounded by the controller, which gives out the slots.
pub(super) struct ConnectionSockets {
    by_owner: [Vec<Option<Connection>>; MAX_OWNERS],
    read_buffer: Vec<u8>,
    /// Connections whose last call failed for the moment, each once.
    to_retry: Vec<ConnId>,
    /// When these calls are repeated; the poll reports nothing of it.
    retry_at: Option<i64>,
}

impl ConnectionSockets {
    /// An empty table.
    pub fn new() -> ConnectionSockets {
        ConnectionSockets {
            by_owner: Default::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            to_retry: Vec::new(),
            retry_at: None,
        }
    }

    /// When [`ConnectionSockets::retry`] is to be called.
    pub fn retry_at(&self) -> Option<i64> {
        self.retry_at
    }

    /// Repeats the calls that failed for the moment, if that is due.
    pub fn retry(&mut self, io: &mut IoContext<'_>) {
        if self.retry_at.is_none_or(|at| at > io.now) {
            return;
        }
        self.retry_at = None;
        for id in std::mem::take(&mut self.to_retry) {
            let Some(socket) = self.get_mut(id) else {
                continue;
            };
            if socket.ensure_registered(io.registry).is_err() {
                socket.mark_ready();
                self.schedule_retry(id, io.now);
            }
            self.read(id, io);
            self.write(id, io);
        }
    }

    fn schedule_retry(&mut self, id: ConnId, now: i64) {
        if !self.to_retry.contains(&id) {
            self.to_retry.push(id);
        }
        self.retry_at = self.retry_at.or(Some(now + RETRY_DELAY_US));
    }

    /// Adds a connection that was accepted, and reads what it has sent already.
    pub fn add_accepted(&mut self, id: ConnId, stream: TcpStream, io: &mut IoContext<'_>) {
        let socket = Socket::from_accepted(stream, io.registry, token_of(id));
        if !socket.is_registered() {
            self.schedule_retry(id, io.now);
        }
        self.insert(id, socket);
        self.read(id, io);
    }

    /// Begins to connect.
    pub fn connect(&mut self, id: ConnId, address: SocketAddr, io: &mut IoContext<'_>) {
        match Socket::connect(address, io.registry, token_of(id)) {
            Ok(socket) => self.insert(id, socket),
            Err(error) => notify_broken(id, Direction::Connecting, &error, io),
        }
    }

    /// Handles an event of the poll for a connection; one that is closed meanwhile is ignored.
    pub fn handle_event(&mut self, event: &mio::event::Event, io: &mut IoContext<'_>) {
        let id = ConnId::from_u64(event.token().0 as u64);
        let Some(socket) = self.get_mut(id) else {
            return;
        };
        let was_connecting = matches!(socket.check_connected(), Ok(false));
        socket.handle_event(event);
        if was_connecting {
            match socket.check_connected() {
                Ok(true) => io.protocol.handle_io(io.now, IoEvent::Connected(id)),
                Ok(false) => return,
                Err(error) => return notify_broken(id, Direction::Connecting, &error, io),
            }
        }
        if self
            .get_mut(id)
            .is_some_and(|socket| socket.is_peer_closed())
        {
            io.protocol.handle_io(io.now, IoEvent::PeerClosing(id));
        }
        self.read(id, io);
        self.write(id, io);
    }

    /// Reads what has arrived, as far as the controller has capacity for it.
    pub fn read(&mut self, id: ConnId, io: &mut IoContext<'_>) {
        loop {
            if !self.get_mut(id).is_some_and(|socket| socket.is_readable()) {
                return;
            }
            let capacity = io.protocol.read_capacity(id).min(READ_BUFFER_BYTES);
            if capacity == 0 {
                return;
            }
            let mut buffer = std::mem::take(&mut self.read_buffer);
            let Some(connection) = self.connection_mut(id) else {
                return;
            };
            let result = connection.socket.read(&mut buffer[..capacity]);
            let has_ended = connection.socket.is_read_finished();
            match result {
                Ok(0) if has_ended => io.protocol.handle_io(io.now, IoEvent::ReadClosed(id)),
                Ok(0) => {}
                Ok(length) => {
                    let failed_since = connection.reads_fail_since.take().unwrap_or(io.now);
                    let event = IoEvent::Received(id, &buffer[..length]);
                    io.with_arrivals_since(failed_since, |io| io.protocol.handle_io(io.now, event));
                }
                Err(error) if is_transient(&error) => {
                    connection.reads_fail_since.get_or_insert(io.now);
                    self.schedule_retry(id, io.now);
                    self.read_buffer = buffer;
                    return;
                }
                Err(error) => notify_broken(id, Direction::Reading, &error, io),
            }
            self.read_buffer = buffer;
        }
    }

    /// Writes the output of the controller, as far as the peer takes it.
    pub fn write(&mut self, id: ConnId, io: &mut IoContext<'_>) {
        loop {
            let Some(socket) = self.get_mut(id).filter(|socket| socket.is_writable()) else {
                return;
            };
            if !matches!(socket.check_connected(), Ok(true)) {
                return;
            }
            match socket.write(io.protocol.output(id)) {
                Ok(0) => return,
                Ok(length) => io.protocol.bytes_written(io.now, id, length),
                Err(error) if is_transient(&error) => return self.schedule_retry(id, io.now),
                Err(error) => return notify_broken(id, Direction::Writing, &error, io),
            }
        }
    }

    /// Closes a connection and frees its slot.
    pub fn close(&mut self, id: ConnId, registry: &Registry) {
        let slots = self.by_owner.get_mut(usize::from(id.owner()));
        let slot = slots.and_then(|slots| slots.get_mut(id.slot()));
        if let Some(connection) = slot.and_then(|slot| slot.take_if(|held| held.id == id)) {
            connection.socket.close(registry);
        }
    }

    fn get_mut(&mut self, id: ConnId) -> Option<&mut Socket> {
        self.connection_mut(id).map(|held| &mut held.socket)
    }

    fn connection_mut(&mut self, id: ConnId) -> Option<&mut Connection> {
        let slot = self
            .by_owner
            .get_mut(usize::from(id.owner()))?
            .get_mut(id.slot())?;
        slot.as_mut().filter(|held| held.id == id)
    }

    fn insert(&mut self, id: ConnId, socket: Socket) {
        let slots = &mut self.by_owner[usize::from(id.owner()) % MAX_OWNERS];
        if slots.len() <= id.slot() {
            slots.resize_with(id.slot() + 1, || None);
        }
        // Closes the connection that had this slot, if that is still to be done: many may be replaced in one turn.
        slots[id.slot()] = Some(Connection {
            id,
            socket,
            reads_fail_since: None,
        });
    }
}

/// What a connection was doing when it broke.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Direction {
    Reading,
    Writing,
    Connecting,
}

impl Direction {
    /// What an error of the system means in this direction. An established connection breaks; a connect fails at the other side,
    /// on the way, or here.
    fn cause(self, error: &io::Error) -> FailureCause {
        if self != Direction::Connecting {
            return FailureCause::ConnectionLost;
        }
        match error.kind() {
            ErrorKind::ConnectionRefused => FailureCause::ConnectRefused,
            ErrorKind::TimedOut | ErrorKind::HostUnreachable => FailureCause::PeerUnreachable,
            ErrorKind::ConnectionReset | ErrorKind::ConnectionAborted | ErrorKind::BrokenPipe => {
                FailureCause::ConnectionLost
            }
            _ => FailureCause::ConnectNotAttempted,
        }
    }
}

fn token_of(id: ConnId) -> Token {
    Token(id.as_u64() as usize)
}

fn notify_broken(id: ConnId, direction: Direction, error: &io::Error, io: &mut IoContext<'_>) {
    let event = IoEvent::ConnectionFailed {
        id,
        writing: direction != Direction::Reading,
        cause: direction.cause(error),
        reason: &error.to_string(),
    };
    io.protocol.handle_io(io.now, event);
}
