//! The sockets of a controller's connections. Data is read as long as the controller has capacity for it, and written as
//! long as the peer accepts it.

use super::IoContext;
use mio::net::TcpStream;
use mio::{Registry, Token};
use std::io::{self, ErrorKind};
use std::net::SocketAddr;
use wheelfield_net::{is_transient, Socket};
use wheelfield_sans_io::{ConnId, FailureCause, IoEvent};

/// Maximum number of components of a controller that own connections ([`ConnId::owner`]).
const MAX_OWNERS: usize = 8;
/// Size of the read buffer that all connections share.
const READ_BUFFER_BYTES: usize = 64 << 10;
/// Maximum number of bytes that are read from one connection in one iteration of the event loop, so that a peer that sends without
/// end delays no other. What a connection may write is bounded by the output that the controller holds for it.
const MAX_READ_BYTES_PER_ITERATION: usize = READ_BUFFER_BYTES;
/// Delay before a call is retried that failed for lack of memory, in microseconds.
const RETRY_DELAY_US: i64 = 5_000;

/// An open connection.
struct Connection {
    id: ConnId,
    socket: Socket,
    /// Since when reads have failed with transient errors, in microseconds. The data read next may have arrived since then.
    read_failing_since: Option<i64>,
    /// Bytes read in the iteration of the event loop with the number `read_iteration`.
    read_bytes: usize,
    read_iteration: u64,
    /// Whether the connection is in [`ConnectionSockets::deferred_reads`].
    is_read_deferred: bool,
}

impl Connection {
    /// Number of bytes that may still be read in this iteration.
    fn read_allowance(&mut self, iteration: u64) -> usize {
        if self.read_iteration != iteration {
            self.read_iteration = iteration;
            self.read_bytes = 0;
        }
        MAX_READ_BYTES_PER_ITERATION.saturating_sub(self.read_bytes)
    }
}

/// All connections, by owner and slot. The controller assigns the slots and thereby limits their number.
pub(super) struct ConnectionSockets {
    by_owner: [Vec<Option<Connection>>; MAX_OWNERS],
    read_buffer: Vec<u8>,
    /// Connections whose last call failed with a transient error, without duplicates.
    pending_retries: Vec<ConnId>,
    /// When to retry these calls. The poll does not report this.
    retry_at: Option<i64>,
    /// The number of the current iteration of the event loop.
    iteration: u64,
    /// Connections from which as much was read in an iteration as is allowed, without duplicates. They may hold more data, which the
    /// poll does not report again.
    deferred_reads: Vec<ConnId>,
}

impl ConnectionSockets {
    /// Creates an empty table.
    pub fn new() -> ConnectionSockets {
        ConnectionSockets {
            by_owner: Default::default(),
            read_buffer: vec![0; READ_BUFFER_BYTES],
            pending_retries: Vec::new(),
            retry_at: None,
            iteration: 0,
            deferred_reads: Vec::new(),
        }
    }

    /// Begins an iteration of the event loop.
    pub fn begin_iteration(&mut self) {
        self.iteration += 1;
    }

    /// Returns whether reads were deferred to the next iteration.
    pub fn has_deferred_reads(&self) -> bool {
        !self.deferred_reads.is_empty()
    }

    /// Continues the reads that an earlier iteration deferred.
    pub fn continue_reads(&mut self, io: &mut IoContext<'_>) {
        for id in std::mem::take(&mut self.deferred_reads) {
            if let Some(connection) = self.connection_mut(id) {
                connection.is_read_deferred = false;
                self.read(id, io);
            }
        }
    }

    /// Returns when to call [`ConnectionSockets::retry`].
    pub fn retry_at(&self) -> Option<i64> {
        self.retry_at
    }

    /// Retries the calls that failed with transient errors, if their retry is due.
    pub fn retry(&mut self, io: &mut IoContext<'_>) {
        if self.retry_at.is_none_or(|at| at > io.now) {
            return;
        }
        self.retry_at = None;
        for id in std::mem::take(&mut self.pending_retries) {
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
        if !self.pending_retries.contains(&id) {
            self.pending_retries.push(id);
        }
        self.retry_at = self.retry_at.or(Some(now + RETRY_DELAY_US));
    }

    /// Adds an accepted connection and reads the data that has already arrived on it. The peer may have closed it while it was in the
    /// accept queue, which the poll reports only after this data is handled; the controller must know it before.
    pub fn add_accepted(&mut self, id: ConnId, stream: TcpStream, io: &mut IoContext<'_>) {
        let mut socket = Socket::from_accepted(stream, io.registry, token_of(id));
        if !socket.is_registered() {
            self.schedule_retry(id, io.now);
        }
        let is_peer_closed = socket.check_peer_closed();
        self.insert(id, socket);
        if is_peer_closed {
            io.protocol.handle_io(io.now, IoEvent::PeerClosing(id));
        }
        self.read(id, io);
    }

    /// Starts to connect to an address.
    pub fn connect(&mut self, id: ConnId, address: SocketAddr, io: &mut IoContext<'_>) {
        match Socket::connect(address, io.registry, token_of(id)) {
            Ok(socket) => self.insert(id, socket),
            Err(error) => notify_failed(id, Operation::Connecting, &error, io),
        }
    }

    /// Handles an event of the poll for a connection. The event is ignored if the connection has been closed meanwhile.
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
                Err(error) => return notify_failed(id, Operation::Connecting, &error, io),
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

    /// Reads the data that has arrived, as long as the controller has capacity for it and the connection may read in this iteration.
    pub fn read(&mut self, id: ConnId, io: &mut IoContext<'_>) {
        loop {
            if !self.get_mut(id).is_some_and(|socket| socket.is_readable()) {
                return;
            }
            let capacity = io.protocol.read_capacity(id);
            if capacity == 0 {
                return;
            }
            let allowance = self.read_allowance(id);
            if allowance == 0 {
                return self.defer_read(id);
            }
            let capacity = capacity.min(allowance).min(READ_BUFFER_BYTES);
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
                    connection.read_bytes += length;
                    let failed_since = connection.read_failing_since.take().unwrap_or(io.now);
                    let event = IoEvent::Received(id, &buffer[..length]);
                    io.with_earliest_arrival(failed_since, |io| {
                        io.protocol.handle_io(io.now, event)
                    });
                }
                Err(error) if is_transient(&error) => {
                    let since = io.earliest_arrival;
                    connection.read_failing_since.get_or_insert(since);
                    self.schedule_retry(id, io.now);
                    io.protocol.handle_read_delay(io.now, id);
                    self.read_buffer = buffer;
                    return;
                }
                Err(error) => notify_failed(id, Operation::Reading, &error, io),
            }
            self.read_buffer = buffer;
        }
    }

    fn read_allowance(&mut self, id: ConnId) -> usize {
        let iteration = self.iteration;
        self.connection_mut(id)
            .map_or(0, |connection| connection.read_allowance(iteration))
    }

    fn defer_read(&mut self, id: ConnId) {
        if let Some(connection) = self.connection_mut(id) {
            if !std::mem::replace(&mut connection.is_read_deferred, true) {
                self.deferred_reads.push(id);
            }
        }
    }

    /// Writes the output of the controller, as long as the peer accepts it.
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
                Err(error) => return notify_failed(id, Operation::Writing, &error, io),
            }
        }
    }

    /// Closes a connection and frees its slot.
    pub fn close(&mut self, id: ConnId, registry: &Registry) {
        let slots = self.by_owner.get_mut(usize::from(id.owner()));
        let slot = slots.and_then(|slots| slots.get_mut(id.slot()));
        if let Some(connection) = slot.and_then(|slot| slot.take_if(|entry| entry.id == id)) {
            connection.socket.close(registry);
        }
    }

    fn get_mut(&mut self, id: ConnId) -> Option<&mut Socket> {
        self.connection_mut(id)
            .map(|connection| &mut connection.socket)
    }

    fn connection_mut(&mut self, id: ConnId) -> Option<&mut Connection> {
        let slot = self
            .by_owner
            .get_mut(usize::from(id.owner()))?
            .get_mut(id.slot())?;
        slot.as_mut().filter(|connection| connection.id == id)
    }

    fn insert(&mut self, id: ConnId, socket: Socket) {
        let slots = &mut self.by_owner[usize::from(id.owner()) % MAX_OWNERS];
        if slots.len() <= id.slot() {
            slots.resize_with(id.slot() + 1, || None);
        }
        // Drops, and thereby closes, the slot's previous connection if it is still open: several connections may use a slot
        // within one iteration.
        slots[id.slot()] = Some(Connection {
            id,
            socket,
            read_failing_since: None,
            read_bytes: 0,
            read_iteration: self.iteration,
            is_read_deferred: false,
        });
    }
}

/// The operation during which a connection failed.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Operation {
    Reading,
    Writing,
    Connecting,
}

impl Operation {
    /// Returns the cause that an error of the system stands for. An established connection is lost; a connect is refused by
    /// the peer, fails on the network, or fails on this host.
    fn failure_cause(self, error: &io::Error) -> FailureCause {
        if self != Operation::Connecting {
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

fn notify_failed(id: ConnId, operation: Operation, error: &io::Error, io: &mut IoContext<'_>) {
    let event = IoEvent::ConnectionFailed {
        id,
        writing: operation != Operation::Reading,
        cause: operation.failure_cause(error),
        reason: &error.to_string(),
    };
    io.protocol.handle_io(io.now, event);
}
