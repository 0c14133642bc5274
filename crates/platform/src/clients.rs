//! Connections of clients, with at most one request on each being processed.

use crate::http_server::{
    self, Reply, RequestError, RequestHead, RequestKind, MAX_BODY_BYTES, MAX_HEAD_BYTES,
};
use crate::timer_event::TimerEvent;
use bytes::{Buf, Bytes};
use wheelfield_sans_io::{ConnId, ConnectionBuffer, ConnectionTable, Effect, EffectQueue};

/// Owner number of these connections in their [`ConnId`].
pub const OWNER: u8 = 1;
/// Time in which the first request of a connection must be complete after the connect, and each other one after its first byte,
/// in microseconds.
const REQUEST_TIMEOUT_US: i64 = 2_000_000;
/// Time for which input after an invalid request is read and dropped, so that the client sees the response, in microseconds.
const DRAIN_TIME_US: i64 = 500_000;
/// Bytes of input after an invalid request that are read and dropped.
const MAX_DRAIN_BYTES: usize = 8 << 20;
/// Time after which a client that reads nothing of its response is closed, in microseconds.
const WRITE_STALL_TIMEOUT_US: i64 = 5_000_000;
/// Time after which a connection without a request is closed, in microseconds.
const IDLE_TIMEOUT_US: i64 = 30_000_000;
/// Time that the first request of a connection may take to arrive, in microseconds: as long as one that crosses the close of
/// another connection.
const FIRST_REQUEST_GRACE_US: i64 = 50_000;
/// Time after which clients as the protocol describes them close an idle connection themselves, in microseconds.
const USUAL_IDLE_TIME_US: i64 = 4_000_000;
/// Bytes that are read while a request is processed: its client may send the next one ahead.
const READ_AHEAD_BYTES: usize = 4 << 10;
/// Bytes that are read at a time while input is dropped.
const DRAIN_READ_BYTES: usize = 64 << 10;

/// What a connection is doing.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ClientState {
    /// It may send a request.
    AwaitingRequest,
    /// Its request is being processed.
    Processing,
    /// Its last response is being written, and its input is dropped until this time and for so many bytes more.
    Draining { until: i64, bytes_left: usize },
}

impl ClientState {
    /// Bytes that may wait in the input.
    fn max_input_bytes(self) -> usize {
        match self {
            ClientState::AwaitingRequest => MAX_HEAD_BYTES + MAX_BODY_BYTES,
            ClientState::Processing => READ_AHEAD_BYTES,
            ClientState::Draining { .. } => DRAIN_READ_BYTES,
        }
    }
}

/// A connection of a client.
#[derive(Debug)]
struct ClientConnection {
    buffer: ConnectionBuffer,
    state: ClientState,
    /// Whether it has sent a valid request.
    has_sent_request: bool,
    /// Time of the connect, or of the last request or response, in microseconds.
    active_at: i64,
    /// Time at which an incomplete request began to arrive, in microseconds.
    request_started_at: Option<i64>,
    /// Whether the connection is closed after the response to the current request.
    close_after_response: bool,
    /// Time at which output was last written or added, in microseconds.
    write_progress_at: i64,
    /// Whether input has arrived that was not examined yet, and may be a request.
    has_unread_input: bool,
}

/// How readily a connection is closed for a new client; the lowest goes first.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
struct EvictionRank {
    class: EvictionClass,
    is_sending_request: bool,
    active_at: i64,
}

/// The first part of an [`EvictionRank`], in order of eviction.
#[derive(Clone, Copy, Debug, PartialEq, Eq, PartialOrd, Ord)]
enum EvictionClass {
    /// Its client has left.
    Disconnected,
    /// It has sent no request for longer than a first request may take to arrive.
    SilentSinceConnect,
    /// It has been idle for longer than usual clients keep a connection.
    IdleForLong,
    /// It was accepted just now, and has sent no request.
    New,
    /// It has sent a request, and is idle.
    Idle,
}

impl ClientConnection {
    fn new(now: i64) -> ClientConnection {
        ClientConnection {
            buffer: ConnectionBuffer::default(),
            state: ClientState::AwaitingRequest,
            has_sent_request: false,
            active_at: now,
            request_started_at: None,
            close_after_response: false,
            write_progress_at: now,
            has_unread_input: false,
        }
    }

    fn has_left(&self) -> bool {
        self.buffer.read_closed || self.buffer.peer_closing
    }

    /// Whether no request is being processed, arriving or expected, and nothing is left to write.
    fn is_idle(&self, now: i64) -> bool {
        let expects_request = !self.has_sent_request && now - self.active_at < FIRST_REQUEST_GRACE_US;
        let has_request =
            self.state == ClientState::Processing || self.has_unread_input || !self.buffer.input.is_empty();
        !expects_request && !has_request && self.buffer.output.is_empty()
    }

    /// Its rank among the connections that may be closed for a new one; `None` if it must not be closed, as a response is owed
    /// or a request may have arrived that was not examined yet.
    fn eviction_rank(&self, now: i64) -> Option<EvictionRank> {
        let has_left = self.has_left();
        let is_in_use = self.has_unread_input || !self.buffer.output.is_empty();
        if self.state == ClientState::Processing || (is_in_use && !has_left) {
            return None;
        }
        let idle_time = now - self.active_at;
        let class = match self.has_sent_request {
            _ if has_left => EvictionClass::Disconnected,
            false if idle_time >= FIRST_REQUEST_GRACE_US => EvictionClass::SilentSinceConnect,
            true if idle_time > USUAL_IDLE_TIME_US => EvictionClass::IdleForLong,
            false => EvictionClass::New,
            true => EvictionClass::Idle,
        };
        Some(EvictionRank {
            class,
            is_sending_request: self.request_started_at.is_some(),
            active_at: self.active_at,
        })
    }

    /// The timeout that has passed, if any.
    fn expired_timeout(&self, now: i64) -> Option<ExpiredTimeout> {
        let has_output = !self.buffer.output.is_empty();
        let request_due_since =
            self.request_started_at.or((!self.has_sent_request).then_some(self.active_at));
        match self.state {
            ClientState::Draining { until, .. } if now >= until && !has_output => Some(ExpiredTimeout::Close),
            _ if has_output && now - self.write_progress_at > WRITE_STALL_TIMEOUT_US => {
                Some(ExpiredTimeout::Close)
            }
            ClientState::AwaitingRequest
                if request_due_since.is_some_and(|since| now - since > REQUEST_TIMEOUT_US) =>
            {
                match self.request_started_at {
                    Some(_) => Some(ExpiredTimeout::RejectRequest),
                    None => Some(ExpiredTimeout::Close),
                }
            }
            ClientState::AwaitingRequest if !has_output && now - self.active_at > IDLE_TIMEOUT_US => {
                Some(ExpiredTimeout::Close)
            }
            _ => None,
        }
    }
}

/// What follows from a timeout that has passed.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
enum ExpiredTimeout {
    /// The incomplete request is rejected.
    RejectRequest,
    /// The connection is closed.
    Close,
}

/// A request of a client.
#[derive(Clone, Debug, PartialEq)]
pub struct ClientRequest {
    /// The client's connection.
    pub client: ConnId,
    /// What is asked for.
    pub kind: RequestKind,
    /// The statement.
    pub body: Bytes,
}

/// Counters since the start of the process.
#[derive(Clone, Copy, Debug, Default, PartialEq, Eq)]
pub struct ClientCounters {
    /// Connections accepted.
    pub accepted: u64,
    /// Connections closed for a new one or because of a timeout.
    pub evicted: u64,
    /// Invalid requests.
    pub invalid: u64,
    /// Connections rejected because all others were in use.
    pub rejected: u64,
}

/// The connections of all clients.
#[derive(Debug)]
pub struct Clients {
    max_clients: usize,
    connections: ConnectionTable<ClientConnection>,
    /// Counters since the start of the process.
    pub counters: ClientCounters,
}

impl Clients {
    /// Creates an empty table of at most so many clients.
    pub fn new(max_clients: usize) -> Clients {
        Clients { max_clients, connections: ConnectionTable::new(OWNER), counters: ClientCounters::default() }
    }

    /// Accepts a client, closing another one if needed; `None` if all others are in use.
    pub fn accept(&mut self, out: &mut EffectQueue<TimerEvent>) -> Option<ConnId> {
        if self.connections.len() >= self.max_clients && !self.evict_one(out) {
            self.counters.rejected += 1;
            return None;
        }
        self.counters.accepted += 1;
        Some(self.connections.insert(ClientConnection::new(out.now)))
    }

    /// Closes the connection that is given up most readily. Returns whether there was one.
    fn evict_one(&mut self, out: &mut EffectQueue<TimerEvent>) -> bool {
        let now = out.now;
        let candidates =
            self.connections.iter().filter_map(|(id, client)| Some((client.eviction_rank(now)?, id)));
        let Some((_, id)) = candidates.min_by_key(|(rank, _)| *rank) else { return false };
        self.counters.evicted += 1;
        self.close(id, out);
        true
    }

    /// Number of clients.
    pub fn len(&self) -> usize {
        self.connections.len()
    }

    /// The buffer of a connection.
    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.connections.get_mut(id).map(|client| &mut client.buffer)
    }

    /// Records that input arrived on a connection, which is examined after all other events of this turn.
    pub fn mark_unread_input(&mut self, id: ConnId) {
        if let Some(client) = self.connections.get_mut(id) {
            client.has_unread_input = true;
        }
    }

    /// Bytes that may be read from a connection.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.connections
            .get_mut(id)
            .map_or(0, |client| client.buffer.read_capacity(client.state.max_input_bytes()))
    }

    /// Records that so many bytes of a response were written. A client that has closed its side is closed after the last byte.
    pub fn bytes_written(&mut self, id: ConnId, count: usize, out: &mut EffectQueue<TimerEvent>) {
        let Some(client) = self.connections.get_mut(id) else { return };
        client.write_progress_at = out.now;
        if client.buffer.advance_written(count) && client.buffer.read_closed {
            self.close(id, out);
        }
    }

    /// Takes the next request from the input of a connection, if it is complete and valid. An invalid one is answered here.
    pub fn next_request(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) -> Option<ClientRequest> {
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
        if client.has_left() {
            // A client that has closed both sides takes no response.
            if client.buffer.output.is_empty() || client.buffer.peer_closing {
                self.close(id, out);
            }
            return None;
        }
        if client.buffer.input.is_empty() {
            client.request_started_at = None;
            client.buffer.resume_reading(id, client.state.max_input_bytes(), out);
            return None;
        }
        client.request_started_at = client.request_started_at.or(Some(out.now));
        match http_server::parse_head(&client.buffer.input) {
            Ok(Some(head)) if client.buffer.input.len() >= head.total_length => {
                self.take_request(id, head, out)
            }
            Ok(_) => None,
            Err(error) => {
                self.reject_request(id, error, out);
                None
            }
        }
    }

    /// Drops the input of a connection that is closed after its last response.
    fn drain_input(&mut self, id: ConnId, until: i64, bytes_left: usize, out: &mut EffectQueue<TimerEvent>) {
        let Some(client) = self.connections.get_mut(id) else { return };
        let received = client.buffer.input.len();
        client.buffer.input.clear();
        client.state = ClientState::Draining { until, bytes_left: bytes_left.saturating_sub(received) };
        if client.buffer.read_closed || received > bytes_left {
            self.close(id, out);
        } else {
            client.buffer.resume_reading(id, client.state.max_input_bytes(), out);
        }
    }

    /// Takes a complete request out of the input.
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
        client.active_at = out.now;
        client.buffer.input.advance(head.total_length - head.body_length);
        // A copy, so that the memory of the input is free again.
        let body = Bytes::copy_from_slice(&client.buffer.input.split_to(head.body_length));
        client.buffer.resume_reading(id, client.state.max_input_bytes(), out);
        match head.kind {
            Ok(kind) => {
                client.has_sent_request = true;
                Some(ClientRequest { client: id, kind, body })
            }
            Err(error) => {
                self.reject_request(id, error, out);
                None
            }
        }
    }

    /// Answers an invalid request.
    pub fn reject_request(&mut self, id: ConnId, error: RequestError, out: &mut EffectQueue<TimerEvent>) {
        self.counters.invalid += 1;
        if let Some(client) = self.connections.get_mut(id) {
            client.close_after_response |= error.ends_connection();
        }
        self.respond(id, &Reply::Invalid(error), out);
    }

    /// Writes the response to the current request.
    pub fn respond(&mut self, id: ConnId, reply: &Reply, out: &mut EffectQueue<TimerEvent>) {
        let Some(client) = self.connections.get_mut(id) else { return };
        http_server::write_reply(reply, client.close_after_response, &mut client.buffer.output);
        client.active_at = out.now;
        client.write_progress_at = out.now;
        client.state = if client.close_after_response {
            ClientState::Draining { until: out.now + DRAIN_TIME_US, bytes_left: MAX_DRAIN_BYTES }
        } else {
            ClientState::AwaitingRequest
        };
        client.buffer.flush(id, out);
        client.buffer.resume_reading(id, client.state.max_input_bytes(), out);
    }

    /// Whether a request of this client is being processed.
    pub fn is_processing(&self, id: ConnId) -> bool {
        self.connections.get(id).is_some_and(|client| client.state == ClientState::Processing)
    }

    /// Whether a client has closed its side of the connection.
    pub fn has_left(&self, id: ConnId) -> bool {
        self.connections.get(id).is_some_and(ClientConnection::has_left)
    }

    /// Closes a connection.
    pub fn close(&mut self, id: ConnId, out: &mut EffectQueue<TimerEvent>) {
        if self.connections.remove(id).is_some() {
            out.push(Effect::Close(id));
        }
    }

    /// Rejects overdue requests and closes connections whose timeout has passed.
    pub fn check_timeouts(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let now = out.now;
        let expired: Vec<(ConnId, ExpiredTimeout)> = self
            .connections
            .iter()
            .filter_map(|(id, client)| Some((id, client.expired_timeout(now)?)))
            .collect();
        for (id, _) in expired.iter().filter(|(_, timeout)| *timeout == ExpiredTimeout::RejectRequest) {
            self.reject_request(*id, RequestError::TimedOut, out);
        }
        for (id, _) in expired.iter().filter(|(_, timeout)| *timeout == ExpiredTimeout::Close) {
            self.counters.evicted += 1;
            self.close(*id, out);
        }
    }

    /// Closes all idle connections. The others are closed by a later call, after their response.
    pub fn close_idle(&mut self, out: &mut EffectQueue<TimerEvent>) {
        let idle: Vec<ConnId> =
            self.connections.iter().filter(|(_, client)| client.is_idle(out.now)).map(|(id, _)| id).collect();
        idle.into_iter().for_each(|id| self.close(id, out));
    }

    /// Whether a request or response of some client is outstanding.
    pub fn has_outstanding(&self, now: i64) -> bool {
        self.connections.iter().any(|(_, client)| !client.is_idle(now))
    }
}
