//! Client connections. At most one request per connection is processed at a time.

mod arrival_times;
mod connection;
mod lifecycle;
mod memory;
mod receiving;
mod reclaiming;

use crate::http_server::{self, Reply, RequestError, RequestHead, RequestKind};
use crate::invariants::{CloseReason, ClosingViolation};
use crate::timer_event::TimerEvent;
use bytes::{Buf, Bytes};
use connection::{ClientConnection, ClientState};
use memory::{MemoryBudget, MemoryCharge};
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, EffectQueue};

/// The owner number in the [`ConnId`] of client connections.
pub const OWNER: u8 = 1;
/// Time for which input after the last response is read and discarded, in microseconds. Closing the connection at once would
/// reset it if unread input is left, and the client could lose the response.
const DRAIN_TIME_US: i64 = 500_000;
/// Maximum number of bytes of input after the last response that are read and discarded.
const MAX_DRAIN_BYTES: usize = 8 << 20;

/// A request from a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The client's connection.
    pub client: ConnId,
    /// What the client requests.
    pub kind: RequestKind,
    /// The request body: the SQL statement of a query.
    pub body: Bytes,
    /// The earliest time at which the last byte of the request can have arrived, in microseconds.
    pub arrived_at: i64,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Accepted connections.
    pub accepted: u64,
    /// Connections closed to make room for a new one or because of a timeout.
    pub evicted: u64,
    /// Invalid requests.
    pub invalid: u64,
    /// Connections rejected because the limit was reached and no open connection could be evicted.
    pub rejected: u64,
    /// Requests that had to wait because the connections of clients took all the memory that they may take.
    pub delayed: u64,
    /// Requests that were refused because they could not be received in time for lack of memory.
    pub refused_for_memory: u64,
    /// Closed connections, indexed by [`CloseReason`].
    pub closed: [u64; CloseReason::ALL.len()],
}

/// The connections of all clients.
#[derive(Debug)]
pub struct Clients {
    max_clients: usize,
    connections: ConnectionTable<ClientConnection>,
    memory: MemoryBudget,
    /// The number of the current turn of the event loop.
    turn: u64,
    /// Clients that have sent more than the one request that is parsed in a turn, without duplicates.
    deferred: Vec<ConnId>,
    /// Violations of the closing invariant that have not been taken yet, with the connection that was closed.
    closing_violations: Vec<(ConnId, ClosingViolation)>,
    /// Counters since the start of the process.
    pub counters: ClientCounters,
}

impl Clients {
    /// Creates an empty table of at most `max_clients` connections in a process with this memory limit.
    pub fn new(max_clients: usize, memory_limit_bytes: usize) -> Clients {
        Clients {
            max_clients,
            connections: ConnectionTable::new(OWNER),
            memory: MemoryBudget::new(memory_limit_bytes),
            turn: 0,
            deferred: Vec::new(),
            closing_violations: Vec::new(),
            counters: ClientCounters::default(),
        }
    }

    /// Number of open connections.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The input and output buffers of a connection.
    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections
            .get_mut(id)
            .map(|client| &mut client.buffer)
    }

    /// Records that input arrived on a connection. It is parsed after all other events of this turn of the event loop.
    pub fn mark_unread_input(&mut self, id: ConnId) {
        if let Some(client) = self.connections.get_mut(id) {
            client.has_unread_input = true;
        }
    }

    /// Records that `count` bytes were received, which arrived at `arrived_at` at the earliest. If reading was paused because the
    /// buffer was full, they may have arrived since the pause began.
    pub fn record_received(&mut self, id: ConnId, count: usize, arrived_at: i64) {
        if let Some(client) = self.connections.get_mut(id) {
            let read_paused_since = client.read_paused_since.take().unwrap_or(arrived_at);
            let arrived_at = arrived_at.min(read_paused_since);
            client.arrival_times.record_received(count, arrived_at);
        }
    }

    /// Records that a read on a connection fails for the moment, so that a request which has arrived can't be received.
    pub fn begin_read_delay(&mut self, id: ConnId) {
        if let Some(client) = self.connections.get_mut(id) {
            client.is_read_delayed = true;
        }
    }

    /// Records that reads on a connection succeed again. The time within which a request must be received starts anew.
    pub fn end_read_delay(&mut self, id: ConnId, now: i64) {
        let Some(client) = self.connections.get_mut(id) else {
            return;
        };
        if std::mem::take(&mut client.is_read_delayed) {
            client.last_active_at = now;
            client.request_started_at = client.request_started_at.map(|_| now);
        }
    }

    /// Records that `count` bytes of output were written. If the client has closed its side, the connection is closed after the
    /// last byte. Returns whether all of a response was written, so that the next request may be parsed.
    pub fn bytes_written(
        &mut self,
        id: ConnId,
        count: usize,
        out: &mut EffectQueue<TimerEvent>,
    ) -> bool {
        let Some(client) = self.connections.get_mut(id) else {
            return false;
        };
        client.last_write_progress_at = out.now;
        if !client.buffer.advance_written(count) {
            return false;
        }
        let charge = MemoryCharge {
            response: 0,
            ..client.charge
        };
        self.memory.change_charge(&mut client.charge, charge);
        if client.buffer.read_closed {
            self.close(id, CloseReason::ClientLeft, out);
            return false;
        }
        true
    }

    /// Begins a turn of the event loop. Returns the clients whose input is to be parsed because it was deferred to this turn.
    pub fn begin_turn(&mut self) -> Vec<ConnId> {
        self.turn += 1;
        let deferred = std::mem::take(&mut self.deferred);
        for id in &deferred {
            if let Some(client) = self.connections.get_mut(*id) {
                client.is_deferred = false;
            }
        }
        deferred
    }

    /// Whether the input of a client was deferred to the next turn.
    pub fn has_deferred(&self) -> bool {
        !self.deferred.is_empty()
    }

    /// Takes the next request from the input of a connection if it is complete and valid. An invalid request is rejected here. A
    /// further request of the same client is parsed in the next turn, so that no client delays others by the number of its requests.
    pub fn next_request(
        &mut self,
        id: ConnId,
        out: &mut EffectQueue<TimerEvent>,
    ) -> Option<ClientRequest> {
        let client = self.connections.get_mut(id)?;
        client.has_unread_input = false;
        match client.state {
            ClientState::Processing => return None,
            ClientState::Draining { until, bytes_left } => {
                self.drain_input(id, until, bytes_left, out);
                return None;
            }
            ClientState::AwaitingRequest => {}
        }
        if client.has_disconnected() {
            // A client that has closed both directions can't receive a response.
            if client.buffer.output.is_empty() || client.buffer.peer_closing {
                self.close(id, CloseReason::ClientLeft, out);
            }
            return None;
        }
        if !client.buffer.output.is_empty() {
            // Responses that the client does not read must not pile up.
            return None;
        }
        if client.buffer.input.is_empty() {
            client.request_started_at = None;
            client
                .buffer
                .resume_reading(id, client.max_input_bytes(), out);
            return None;
        }
        client.request_started_at = client.request_started_at.or(Some(out.now));
        if client.last_request_turn == Some(self.turn) {
            client.has_unread_input = true;
            if !std::mem::replace(&mut client.is_deferred, true) {
                self.deferred.push(id);
            }
            return None;
        }
        match http_server::parse_head(&client.buffer.input) {
            Ok(Some(head)) if client.buffer.input.len() >= head.total_length => {
                self.take_request(id, head, out)
            }
            Ok(_) => {
                self.continue_receiving(id, out);
                None
            }
            Err(error) => {
                self.reject_request(id, error, out);
                None
            }
        }
    }

    /// Discards the input of a connection that is to be closed after its last response.
    fn drain_input(
        &mut self,
        id: ConnId,
        until: i64,
        bytes_left: usize,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        let Some(client) = self.connections.get_mut(id) else {
            return;
        };
        let received = client.discard_input();
        client.state = ClientState::Draining {
            until,
            bytes_left: bytes_left.saturating_sub(received),
        };
        if client.buffer.read_closed || received > bytes_left {
            self.close(id, CloseReason::ResponseWritten, out);
        } else {
            client
                .buffer
                .resume_reading(id, client.max_input_bytes(), out);
        }
    }

    /// Takes a complete request from the input.
    fn take_request(
        &mut self,
        id: ConnId,
        head: RequestHead,
        out: &mut EffectQueue<TimerEvent>,
    ) -> Option<ClientRequest> {
        let client = self.connections.get_mut(id)?;
        client.request_started_at = None;
        client.close_after_response = head.close;
        client.state = ClientState::Processing;
        client.last_request_turn = Some(self.turn);
        client.reserved_at = None;
        client.last_active_at = out.now;
        let arrived_at = client.arrival_times.record_consumed(head.total_length);
        client
            .buffer
            .input
            .advance(head.total_length - head.body_length);
        // Copied, so that the memory of the input buffer can be reused.
        let body = Bytes::copy_from_slice(&client.buffer.input.split_to(head.body_length));
        let charge = MemoryCharge {
            reserved_input: 0,
            // One copy is kept for retries, and one is written to the executor.
            statement: 2 * body.len(),
            result: 0,
            response: 0,
        };
        self.memory.change_charge(&mut client.charge, charge);
        client
            .buffer
            .resume_reading(id, client.max_input_bytes(), out);
        match head.kind {
            Ok(kind) => {
                client.has_sent_request = true;
                Some(ClientRequest {
                    client: id,
                    kind,
                    body,
                    arrived_at: arrived_at.unwrap_or(out.now),
                })
            }
            Err(error) => {
                self.reject_request(id, error, out);
                None
            }
        }
    }

    /// Rejects an invalid request.
    pub fn reject_request(
        &mut self,
        id: ConnId,
        error: RequestError,
        out: &mut EffectQueue<TimerEvent>,
    ) {
        self.counters.invalid += 1;
        if let Some(client) = self.connections.get_mut(id) {
            client.close_after_response |= error.ends_connection();
        }
        self.respond(id, &Reply::Invalid(error), out);
    }

    /// Writes the response to the current request.
    pub fn respond(&mut self, id: ConnId, reply: &Reply, out: &mut EffectQueue<TimerEvent>) {
        self.end_memory_wait(id, out);
        let Some(client) = self.connections.get_mut(id) else {
            return;
        };
        http_server::write_reply(
            reply,
            client.close_after_response,
            &mut client.buffer.output,
        );
        client.last_active_at = out.now;
        client.last_write_progress_at = out.now;
        client.reserved_at = None;
        let charge = MemoryCharge {
            response: client.buffer.output.capacity(),
            ..MemoryCharge::default()
        };
        self.memory.change_charge(&mut client.charge, charge);
        client.state = if client.close_after_response {
            client.discard_input();
            ClientState::Draining {
                until: out.now + DRAIN_TIME_US,
                bytes_left: MAX_DRAIN_BYTES,
            }
        } else {
            ClientState::AwaitingRequest
        };
        client.buffer.flush(id, out);
        client
            .buffer
            .resume_reading(id, client.max_input_bytes(), out);
    }

    /// Whether a request of this client is being processed.
    pub fn is_processing(&self, id: ConnId) -> bool {
        self.connections
            .get(id)
            .is_some_and(|client| client.state == ClientState::Processing)
    }

    /// Whether a client is connected and waits for a response.
    pub fn awaits_response(&self, id: ConnId) -> bool {
        self.is_processing(id) && !self.has_disconnected(id)
    }

    /// Whether a client has closed its side of a connection.
    pub fn has_disconnected(&self, id: ConnId) -> bool {
        self.connections
            .get(id)
            .is_some_and(ClientConnection::has_disconnected)
    }
}
