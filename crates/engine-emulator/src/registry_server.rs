//! HTTP interface of the emulated registry, without sockets. Requests are answered at once or, as
//! long polls, when the list changes.

use crate::engine::{EngineAction, JournalEntry, NotUp};
use crate::registry::{EngineStatus, Registry};
use bytes::{Buf, BytesMut};
use wheelfield_sans_io::{http, ConnId, ConnectionTable};

/// Maximum wait of a long poll, in milliseconds.
const MAX_WAIT_MS: i64 = 60_000;

#[derive(Debug, Default)]
struct HttpConnection {
    input: BytesMut,
    output: BytesMut,
    /// For a long poll: the version that the client has, the deadline, and the client's name.
    long_poll: Option<(u64, i64, String)>,
    close_after_write: bool,
}

/// The registry and its HTTP connections.
#[derive(Debug)]
pub struct RegistryServer {
    /// The list of engines.
    pub registry: Registry,
    connections: ConnectionTable<HttpConnection>,
    actions: Vec<EngineAction>,
    journal: Vec<JournalEntry>,
}

impl RegistryServer {
    /// Creates a server for a registry.
    pub fn new(registry: Registry) -> RegistryServer {
        RegistryServer {
            registry,
            connections: ConnectionTable::new(1),
            actions: Vec::new(),
            journal: Vec::new(),
        }
    }

    /// Moves the requested actions to `into`, which is cleared first.
    pub fn take_actions(&mut self, into: &mut Vec<EngineAction>) {
        into.clear();
        std::mem::swap(&mut self.actions, into);
    }

    /// Removes and returns the journal entries since the last call.
    pub fn drain_journal(&mut self) -> std::vec::Drain<'_, JournalEntry> {
        self.journal.drain(..)
    }

    /// Returns the time at which [`RegistryServer::advance`] must be called next.
    pub fn next_timer_at(&self) -> Option<i64> {
        let deadlines = self
            .connections
            .iter()
            .filter_map(|(_, c)| c.long_poll.as_ref().map(|(_, deadline, _)| *deadline));
        deadlines.chain(self.registry.next_timer_at()).min()
    }

    /// Adds an accepted connection.
    pub fn accept(&mut self) -> ConnId {
        self.connections.insert(HttpConnection::default())
    }

    /// Returns the bytes to write.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.connections.get(id).map_or(&[], |c| &c.output)
    }

    /// Removes `n` bytes, which were written, from the output.
    pub fn bytes_written(&mut self, id: ConnId, n: usize) {
        let Some(c) = self.connections.get_mut(id) else { return };
        c.output.advance(n.min(c.output.len()));
        if c.output.is_empty() && c.close_after_write {
            self.peer_closed(id);
        }
    }

    /// Closes a connection after the peer closed it or after its last response.
    pub fn peer_closed(&mut self, id: ConnId) {
        if self.connections.remove(id).is_some() {
            self.actions.push(EngineAction::Close(id, false));
        }
    }

    /// Handles received bytes.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        if let Some(c) = self.connections.get_mut(id) {
            c.input.extend_from_slice(bytes);
            self.serve(id, now);
        }
    }

    fn serve(&mut self, id: ConnId, now: i64) {
        while let Some(c) =
            self.connections.get_mut(id).filter(|c| c.long_poll.is_none() && !c.close_after_write)
        {
            let request = match http::take_request(&mut c.input, 64 << 10) {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(error) => {
                    c.close_after_write = true;
                    self.send_response(id, 400, "text/plain", error.to_string().as_bytes());
                    return;
                }
            };
            if request.path() != "/engines" {
                self.send_response(id, 404, "text/plain", b"GET /engines\n");
                continue;
            }
            if !self.registry.available(now) {
                self.send_response(id, 503, "text/plain", b"unavailable\n");
                continue;
            }
            let number =
                |name: &str| request.query_param(name).and_then(|v| v.parse::<i64>().ok()).unwrap_or(0);
            let since = u64::try_from(number("since")).unwrap_or(0);
            let wait = number("wait_ms").clamp(0, MAX_WAIT_MS);
            let who = request.query_param("who").unwrap_or("").to_string();
            if since >= self.registry.version() && wait > 0 {
                c.long_poll = Some((since, now + wait * 1000, who));
            } else {
                self.send_list(id, who, now);
            }
        }
    }

    fn send_response(&mut self, id: ConnId, status: u16, content_type: &str, body: &[u8]) {
        if let Some(c) = self.connections.get_mut(id) {
            http::write_response(status, content_type, body, &mut c.output);
            self.actions.push(EngineAction::Write(id));
        }
    }

    fn send_list(&mut self, id: ConnId, who: String, now: i64) {
        let list = self.registry.list();
        self.send_response(id, 200, "application/json", list.as_bytes());
        let not_up_entry = |(id, status): (&str, EngineStatus)| NotUp { engine: id.to_string(), status };
        let not_up = self.registry.not_up().into_iter().map(not_up_entry).collect();
        let version = Some(self.registry.version());
        let (who, not_up) = (Some(who), Some(not_up));
        self.journal.push(JournalEntry {
            t: now,
            event: "told",
            who,
            version,
            not_up,
            ..JournalEntry::default()
        });
    }

    /// Advances to `now`: publishes changes and answers the long polls that are due.
    pub fn advance(&mut self, now: i64) {
        if self.registry.advance(now) && self.registry.available(now) {
            let version = self.registry.version();
            self.answer_long_polls(now, |since, _| since < version);
        }
        self.answer_long_polls(now, |_, deadline| deadline <= now);
    }

    fn answer_long_polls(&mut self, now: i64, is_answered: impl Fn(u64, i64) -> bool) {
        let is_due = |c: &HttpConnection| {
            c.long_poll.as_ref().is_some_and(|(since, deadline, _)| is_answered(*since, *deadline))
        };
        let due_connections: Vec<ConnId> =
            self.connections.iter().filter(|(_, c)| is_due(c)).map(|(id, _)| id).collect();
        for id in due_connections {
            let Some((_, _, who)) = self.connections.get_mut(id).and_then(|c| c.long_poll.take()) else {
                continue;
            };
            if self.registry.available(now) {
                self.send_list(id, who, now);
            } else {
                self.send_response(id, 503, "text/plain", b"unavailable\n");
            }
            self.serve(id, now);
        }
    }

    /// Schedules a status change of an engine for publication at `at`.
    pub fn schedule_change(&mut self, at: i64, id: &str, status: EngineStatus, started: Option<i64>) {
        self.registry.schedule_change(at, id, status, started);
    }
}
