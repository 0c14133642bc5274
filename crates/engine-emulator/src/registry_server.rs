//! The registry's HTTP face without sockets: calls are answered at once, or wait for a change.

use crate::engine::{EngineAction, JournalEntry, NotUp};
use crate::registry::{EngineStatus, Registry};
use bytes::{Buf, BytesMut};
use wheelfield_sans_io::{http, ConnId, ConnectionTable};

/// A call may wait so long at most, in milliseconds.
const LONGEST_WAIT: i64 = 60_000;

#[derive(Debug, Default)]
struct Call {
    input: BytesMut,
    output: BytesMut,
    /// The version it has, its end and who it is, for one that waits.
    waits: Option<(u64, i64, String)>,
    last: bool,
}

/// The registry's calls.
#[derive(Debug)]
pub struct RegistryServer {
    /// The list.
    pub registry: Registry,
    calls: ConnectionTable<Call>,
    doing: Vec<EngineAction>,
    journal: Vec<JournalEntry>,
}

impl RegistryServer {
    /// A desk that tells this list.
    pub fn new(registry: Registry) -> RegistryServer {
        RegistryServer { registry, calls: ConnectionTable::new(1), doing: Vec::new(), journal: Vec::new() }
    }

    /// What is to be done; `into` is emptied first.
    pub fn take_actions(&mut self, into: &mut Vec<EngineAction>) {
        into.clear();
        std::mem::swap(&mut self.doing, into);
    }

    /// Who was told what since the last call.
    pub fn drain_journal(&mut self) -> std::vec::Drain<'_, JournalEntry> {
        self.journal.drain(..)
    }

    /// When [`RegistryServer::advance`] is next wanted.
    pub fn next_timer_at(&self) -> Option<i64> {
        let ends = self.calls.iter().filter_map(|(_, c)| c.waits.as_ref().map(|(_, end, _)| *end));
        ends.chain(self.registry.next_timer_at()).min()
    }

    /// Somebody has connected.
    pub fn accept(&mut self) -> ConnId {
        self.calls.insert(Call::default())
    }

    /// What is to go.
    pub fn output(&self, id: ConnId) -> &[u8] {
        self.calls.get(id).map_or(&[], |c| &c.output)
    }

    /// So much of it has gone.
    pub fn bytes_written(&mut self, id: ConnId, n: usize) {
        let Some(c) = self.calls.get_mut(id) else { return };
        c.output.advance(n.min(c.output.len()));
        if c.output.is_empty() && c.last {
            self.peer_closed(id);
        }
    }

    /// The other side has gone, or is to be closed.
    pub fn peer_closed(&mut self, id: ConnId) {
        if self.calls.remove(id).is_some() {
            self.doing.push(EngineAction::Close(id, false));
        }
    }

    /// Bytes came.
    pub fn receive(&mut self, id: ConnId, bytes: &[u8], now: i64) {
        if let Some(c) = self.calls.get_mut(id) {
            c.input.extend_from_slice(bytes);
            self.serve(id, now);
        }
    }

    fn serve(&mut self, id: ConnId, now: i64) {
        while let Some(c) = self.calls.get_mut(id).filter(|c| c.waits.is_none() && !c.last) {
            let request = match http::take_request(&mut c.input, 64 << 10) {
                Ok(Some(request)) => request,
                Ok(None) => return,
                Err(fault) => {
                    c.last = true;
                    self.put(id, 400, "text/plain", fault.to_string().as_bytes());
                    return;
                }
            };
            if request.path() != "/engines" {
                self.put(id, 404, "text/plain", b"GET /engines\n");
                continue;
            }
            if !self.registry.available(now) {
                self.put(id, 503, "text/plain", b"unavailable\n");
                continue;
            }
            let number =
                |name: &str| request.query_param(name).and_then(|v| v.parse::<i64>().ok()).unwrap_or(0);
            let since = u64::try_from(number("since")).unwrap_or(0);
            let wait = number("wait_ms").clamp(0, LONGEST_WAIT);
            let who = request.query_param("who").unwrap_or("").to_string();
            if since >= self.registry.version() && wait > 0 {
                c.waits = Some((since, now + wait * 1000, who));
            } else {
                self.tell(id, who, now);
            }
        }
    }

    fn put(&mut self, id: ConnId, status: u16, kind: &str, body: &[u8]) {
        if let Some(c) = self.calls.get_mut(id) {
            http::write_response(status, kind, body, &mut c.output);
            self.doing.push(EngineAction::Write(id));
        }
    }

    fn tell(&mut self, id: ConnId, who: String, now: i64) {
        let list = self.registry.list();
        self.put(id, 200, "application/json", list.as_bytes());
        let line = |(id, status): (&str, EngineStatus)| NotUp { engine: id.to_string(), status };
        let not_up = self.registry.not_up().into_iter().map(line).collect();
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

    /// Lets the time pass: changes become known, waits end.
    pub fn advance(&mut self, now: i64) {
        if self.registry.advance(now) && self.registry.available(now) {
            let version = self.registry.version();
            self.answer(now, |since, _| since < version);
        }
        self.answer(now, |_, end| end <= now);
    }

    fn answer(&mut self, now: i64, which: impl Fn(u64, i64) -> bool) {
        let ripe = |c: &Call| c.waits.as_ref().is_some_and(|(since, end, _)| which(*since, *end));
        let all: Vec<ConnId> = self.calls.iter().filter(|(_, c)| ripe(c)).map(|(id, _)| id).collect();
        for id in all {
            let Some((_, _, who)) = self.calls.get_mut(id).and_then(|c| c.waits.take()) else { continue };
            if self.registry.available(now) {
                self.tell(id, who, now);
            } else {
                self.put(id, 503, "text/plain", b"unavailable\n");
            }
            self.serve(id, now);
        }
    }

    /// An engine's standing as its own process changes it, and when the list will say so.
    pub fn schedule_change(&mut self, at: i64, id: &str, standing: EngineStatus, started: Option<i64>) {
        self.registry.schedule_change(at, id, standing, started);
    }
}
