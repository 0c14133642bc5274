//! Client sessions: parsing the clients' messages, writing their answers, and their cancel keys.

use crate::coverage::Coverage;
use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::{Bytes, BytesMut};
use rand::rngs::StdRng;
use rand::RngExt as _;
use std::collections::BTreeMap;
use tracing::{debug, info};
use wheelfield::interface::QueryId;
use wheelfield_config::Config;
use wheelfield_pg::backend_messages::Diagnostic;
use wheelfield_pg::client::{self, ClientEvent, Session, Unit};
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey};

pub(crate) const CONNECTION_OWNER: u8 = 1;
/// Bytes read ahead from a client while its query runs.
const READ_AHEAD_BYTES: usize = 16 << 10;
/// A client that reads nothing of its answer for this multiple of the engine stall timeout is disconnected.
const READ_TIMEOUT_STALLS: i64 = 6;

/// A request of a client to the dispatcher.
pub(crate) enum ClientRequest {
    /// Run a unit of work.
    Run(Unit),
    /// Further messages of the open unit of this query: the frames, which completion messages to suppress,
    /// and whether the unit is now complete.
    Continue(QueryId, Bytes, Vec<bool>, bool),
    /// Cancel the query of another session, given its process ID and cancel key.
    Cancel(i32, Bytes),
    /// The client is gone, or cannot be sent anything more.
    Disconnected,
}

#[derive(Debug)]
struct Client {
    buffer: ConnectionBuffer,
    session: Session,
    pid: i32,
    running: Option<QueryId>,
    /// The connection is closed once the output is written.
    closing: bool,
    startup_timer: Option<TimerKey>,
    /// An engine session that is not read until this client has read some of its answer.
    paused_session: Option<ConnId>,
    /// When the client last read some of its answer.
    last_progress_at: i64,
}

impl Client {
    /// How many received bytes may be buffered.
    fn read_limit(&self, max_message: usize) -> usize {
        match self.session.is_running() {
            _ if self.closing => 0,
            true => READ_AHEAD_BYTES,
            false => max_message + READ_AHEAD_BYTES,
        }
    }
}

/// Counters of client connections.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct ClientCounters {
    pub accepted: u64,
    pub rejected: u64,
    pub protocol_errors: u64,
}

/// All clients.
#[derive(Debug)]
pub(crate) struct Clients {
    clients: ConnectionTable<Client>,
    cancel_keys: BTreeMap<i32, (i32, ConnId)>,
    next_pid: i32,
    rng: StdRng,
    session_limits: client::Limits,
    max_clients: usize,
    output_limit: usize,
    startup_timeout: i64,
    read_timeout: i64,
    pub counters: ClientCounters,
}

impl Clients {
    /// `rng` generates the cancel keys, so its output must not be predictable.
    pub fn new(config: &Config, rng: StdRng) -> Clients {
        let limits = config.limits;
        Clients {
            clients: ConnectionTable::new(CONNECTION_OWNER),
            cancel_keys: BTreeMap::new(),
            next_pid: 0,
            rng,
            session_limits: client::Limits {
                message_bytes: limits.max_message_bytes,
                statements: limits.max_statements,
                stored_bytes: limits.max_prepared_bytes,
            },
            max_clients: limits.max_clients,
            output_limit: limits.max_buffered_bytes,
            startup_timeout: config.timing.startup_timeout.0,
            read_timeout: config.timing.answer_stall_timeout.0 * READ_TIMEOUT_STALLS,
            counters: ClientCounters::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.clients.len()
    }

    /// Adds a new connection. Beyond the client limit, the client is sent an error and closed.
    pub fn accept(&mut self, out: &mut EffectQueue) -> ConnId {
        self.counters.accepted += 1;
        let over_limit = self.clients.len() >= self.max_clients;
        self.next_pid = self.next_pid.checked_add(1).unwrap_or(1);
        let (pid, key) = (self.next_pid, self.rng.random::<i32>());
        let id = self.clients.insert(Client {
            buffer: ConnectionBuffer::default(),
            session: Session::new(self.session_limits, pid, key),
            pid,
            running: None,
            closing: over_limit,
            startup_timer: None,
            paused_session: None,
            last_progress_at: out.now,
        });
        out.record(if over_limit { Coverage::ClientRejected } else { Coverage::ClientAccepted });
        let Some(client) = self.clients.get_mut(id) else { return id };
        if over_limit {
            self.counters.rejected += 1;
            let error = Diagnostic::fatal("53300", "too many clients").hint("come back in some seconds");
            client.session.close_with_error(&error, &mut client.buffer.output);
            client.buffer.flush(id, out);
        } else {
            client.startup_timer =
                Some(out.set_timer_after(self.startup_timeout, TimerEvent::ClientStartupTimeout(id)));
            self.cancel_keys.insert(pid, (key, id));
        }
        id
    }

    /// The input and output buffers of a connection.
    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.clients.get_mut(id).map(|client| &mut client.buffer)
    }

    /// How many bytes may be read from a client now.
    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        let max_message = self.session_limits.message_bytes;
        self.clients.get_mut(id).map_or(0, |client| {
            let limit = client.read_limit(max_message);
            client.buffer.read_capacity(limit)
        })
    }

    /// Processes a client's messages up to the next request that the dispatcher must handle.
    pub fn next_request(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<ClientRequest> {
        let max_message = self.session_limits.message_bytes;
        let client = self.clients.get_mut(id)?;
        while !client.closing {
            match client.session.feed(&mut client.buffer.input, &mut client.buffer.output) {
                Err(fault) => {
                    self.counters.protocol_errors += 1;
                    out.record(Coverage::ClientProtocolError);
                    client.closing = true;
                    info!(%fault, "closing a client after a protocol error");
                }
                Ok(None) => {
                    if client.buffer.read_closed
                        || (client.buffer.peer_closing && client.session.is_running())
                    {
                        return Some(ClientRequest::Disconnected);
                    }
                    let limit = client.read_limit(max_message);
                    client.buffer.resume_reading(id, limit, out);
                    break;
                }
                Ok(Some(ClientEvent::Started(identity))) => {
                    out.cancel_timer(&mut client.startup_timer);
                    debug!(
                        user = %identity.user,
                        database = %identity.database,
                        application = %identity.application,
                        "client session started"
                    );
                }
                Ok(Some(ClientEvent::Run(unit))) => return Some(ClientRequest::Run(unit)),
                Ok(Some(ClientEvent::More { frames, suppress_acks, is_last })) => {
                    if let Some(query) = client.running {
                        return Some(ClientRequest::Continue(query, frames, suppress_acks, is_last));
                    }
                }
                Ok(Some(ClientEvent::Cancel { pid, key })) => {
                    client.closing = true;
                    return Some(ClientRequest::Cancel(pid, key));
                }
                Ok(Some(ClientEvent::Closed)) => client.closing = true,
            }
        }
        if client.closing && (client.session.is_running() || client.buffer.output.is_empty()) {
            return Some(ClientRequest::Disconnected);
        }
        client.buffer.flush(id, out);
        None
    }

    /// Whether a client has disconnected or is about to.
    pub fn is_leaving(&self, id: ConnId) -> bool {
        self.clients.get(id).is_none_or(|client| client.buffer.read_closed || client.buffer.peer_closing)
    }

    pub fn session(&self, id: ConnId) -> Option<&Session> {
        self.clients.get(id).map(|client| &client.session)
    }

    /// Associates a client with the query of its current unit.
    pub fn set_running(&mut self, id: ConnId, query: QueryId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.running = Some(query);
        }
    }

    /// Looks up the running query of the session that a cancel request identifies.
    pub fn running_query(&self, pid: i32, key: &[u8]) -> Option<(ConnId, QueryId)> {
        let (expected, id) = self.cancel_keys.get(&pid)?;
        let query = self.clients.get(*id).filter(|_| expected.to_be_bytes() == key)?.running?;
        Some((*id, query))
    }

    /// The output buffer that a client's answer is written to.
    pub fn sink(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.clients.get_mut(id).map(|client| &mut client.buffer.output)
    }

    /// Requests a write of a client's output.
    pub fn flush(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(client) = self.clients.get_mut(id) {
            client.buffer.flush(id, out);
        }
    }

    /// Ends a client's unit with an error instead of an engine's answer. Call [`Clients::next_request`]
    /// afterwards.
    pub fn finish_with_error(&mut self, id: ConnId, error: &Diagnostic) {
        if let Some(client) = self.clients.get_mut(id) {
            client.running = None;
            client.session.unit_failed(error, &mut client.buffer.output);
        }
    }

    /// Ends a client's unit that an engine has answered. Call [`Clients::next_request`] afterwards.
    pub fn finish_served(&mut self, id: ConnId, has_query_error: bool) {
        if let Some(client) = self.clients.get_mut(id) {
            client.running = None;
            client.session.unit_completed(has_query_error, &mut client.buffer.output);
        }
    }

    /// Handles bytes written to a client. Returns the engine session that may be read again, if any, and
    /// whether the connection is finished.
    pub fn bytes_written(
        &mut self,
        id: ConnId,
        count: usize,
        out: &mut EffectQueue,
    ) -> (Option<ConnId>, bool) {
        let Some(client) = self.clients.get_mut(id) else { return (None, false) };
        let all_written = client.buffer.advance_written(count);
        if count > 0 {
            client.last_progress_at = out.now;
        }
        // Reading resumes once half of the output buffer is free.
        let resumed_session = if client.buffer.output.len() <= self.output_limit / 2 {
            client.paused_session.take()
        } else {
            None
        };
        (resumed_session, all_written && client.closing)
    }

    /// Stops reading an engine session because the client's output buffer is full, and starts the client's
    /// read timeout.
    pub fn pause_session(&mut self, id: ConnId, session: ConnId, out: &mut EffectQueue) {
        if let Some(client) = self.clients.get_mut(id) {
            out.record(Coverage::ClientOutputFull);
            if client.paused_session.replace(session).is_none() {
                out.set_timer_after(self.read_timeout, TimerEvent::ClientReadTimeout(id));
            }
            client.buffer.flush(id, out);
        }
    }

    /// Whether an engine session is paused because of this client.
    pub fn is_pausing(&self, id: ConnId, session: ConnId) -> bool {
        self.clients.get(id).is_some_and(|client| client.paused_session == Some(session))
    }

    /// Notes that an engine session is no longer paused because of this client.
    pub fn clear_paused_session(&mut self, id: ConnId, session: ConnId) {
        if let Some(client) = self.clients.get_mut(id) {
            client.paused_session = client.paused_session.filter(|paused| *paused != session);
        }
    }

    /// Whether a client has read nothing of its answer for too long. If it has not, the timer is set again.
    pub fn check_read_timeout(&mut self, id: ConnId, out: &mut EffectQueue) -> bool {
        let Some(client) = self.clients.get(id).filter(|client| client.paused_session.is_some()) else {
            return false;
        };
        if out.now - client.last_progress_at >= self.read_timeout {
            out.record(Coverage::ClientReadTimeout);
            info!("closing a client that does not read its answer");
            return true;
        }
        let deadline = client.last_progress_at + self.read_timeout;
        out.set_timer_at(deadline, TimerEvent::ClientReadTimeout(id));
        false
    }

    /// Closes a client that has not sent its startup packet in time.
    pub fn handle_startup_timeout(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(client) = self.clients.get_mut(id).filter(|client| !client.session.is_started()) else {
            return;
        };
        client.startup_timer = None;
        out.record(Coverage::ClientStartupTimeout);
        client.session.close_with_error(
            &Diagnostic::fatal("08P01", "no startup packet in time"),
            &mut client.buffer.output,
        );
        client.closing = true;
        client.buffer.flush(id, out);
    }

    /// For shutdown: closes all clients without a running query.
    pub fn shut_down_idle(&mut self, out: &mut EffectQueue) {
        let ids: Vec<ConnId> = self.clients.iter().map(|(id, _)| id).collect();
        for id in ids {
            self.shut_down(id, out);
        }
    }

    /// For shutdown: closes a client if it has no running query.
    pub fn shut_down(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(client) =
            self.clients.get_mut(id).filter(|client| client.running.is_none() && !client.closing)
        else {
            return;
        };
        out.record(Coverage::ClientClosedByShutdown);
        let error = Diagnostic::fatal("57P01", "the controller stops").hint("connect again, to another one");
        client.session.close_with_error(&error, &mut client.buffer.output);
        client.closing = true;
        client.buffer.flush(id, out);
    }

    /// Closes a connection. Returns the query that the client was waiting for.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<QueryId> {
        let mut client = self.clients.remove(id)?;
        out.cancel_timer(&mut client.startup_timer);
        if self.cancel_keys.get(&client.pid).is_some_and(|(_, holder)| *holder == id) {
            self.cancel_keys.remove(&client.pid);
        }
        out.record(if client.running.is_some() {
            Coverage::ClientDisconnectedRunning
        } else {
            Coverage::ClientDisconnectedIdle
        });
        out.push(Effect::Close(id));
        client.running
    }
}
