//! Sessions of clients: their messages in, their answers out, their keys to cancel.

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

pub(crate) const ROOM: u8 = 1;
/// Read ahead of a client whose query runs.
const READ_AHEAD: usize = 16 << 10;
/// A client that takes nothing of its answer for so many times the stall of an engine is gone.
const READER_PATIENCE: i64 = 6;

/// What a client wants.
pub(crate) enum Said {
    /// A unit is to run.
    Run(Unit),
    /// More of the open unit of this query.
    More(QueryId, Bytes, Vec<bool>, bool),
    /// The query of another session is to end.
    Cancel(i32, Bytes),
    /// It can be told nothing more.
    Gone,
}

#[derive(Debug)]
struct Client {
    wire: ConnectionBuffer,
    session: Session,
    pid: i32,
    running: Option<QueryId>,
    /// It is closed once all has gone.
    last: bool,
    startup: Option<TimerKey>,
    /// A session with an engine that waits until this client has taken some of its answer.
    pauses: Option<ConnId>,
    /// When it last took some.
    moved: i64,
}

impl Client {
    /// Bytes of it that may wait to be taken.
    fn limit(&self, message: usize) -> usize {
        match self.session.is_running() {
            _ if self.last => 0,
            true => READ_AHEAD,
            false => message + READ_AHEAD,
        }
    }
}

/// What was counted.
#[derive(Clone, Copy, Debug, Default)]
pub(crate) struct Counts {
    pub accepted: u64,
    pub turned_away: u64,
    pub malformed: u64,
}

/// All clients.
#[derive(Debug)]
pub(crate) struct Clients {
    all: ConnectionTable<Client>,
    keys: BTreeMap<i32, (i32, ConnId)>,
    next_pid: i32,
    chance: StdRng,
    limits: client::Limits,
    most: usize,
    buffer: usize,
    startup: i64,
    patience: i64,
    pub counts: Counts,
}

impl Clients {
    /// `chance` makes the keys to cancel: it must not be guessed.
    pub fn new(config: &Config, chance: StdRng) -> Clients {
        let l = config.limits;
        Clients {
            all: ConnectionTable::new(ROOM),
            keys: BTreeMap::new(),
            next_pid: 0,
            chance,
            limits: client::Limits {
                message_bytes: l.max_message_bytes,
                statements: l.max_statements,
                stored_bytes: l.max_prepared_bytes,
            },
            most: l.max_clients,
            buffer: l.max_buffered_bytes,
            startup: config.timing.startup_timeout.0,
            patience: config.timing.answer_stall_timeout.0 * READER_PATIENCE,
            counts: Counts::default(),
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    /// A client has connected.
    pub fn accept(&mut self, out: &mut EffectQueue) -> ConnId {
        self.counts.accepted += 1;
        let crowded = self.all.len() >= self.most;
        self.next_pid = self.next_pid.checked_add(1).unwrap_or(1);
        let (pid, key) = (self.next_pid, self.chance.random::<i32>());
        let id = self.all.insert(Client {
            wire: ConnectionBuffer::default(),
            session: Session::new(self.limits, pid, key),
            pid,
            running: None,
            last: crowded,
            startup: None,
            pauses: None,
            moved: out.now,
        });
        out.saw(if crowded { Coverage::ClientTurnedAway } else { Coverage::ClientAccepted });
        let Some(c) = self.all.get_mut(id) else { return id };
        if crowded {
            self.counts.turned_away += 1;
            let trouble = Diagnostic::fatal("53300", "too many clients").hint("come back in some seconds");
            c.session.close_with_error(&trouble, &mut c.wire.output);
            c.wire.flush(id, out);
        } else {
            c.startup = Some(out.set_timer_after(self.startup, TimerEvent::Startup(id)));
            self.keys.insert(pid, (key, id));
        }
        id
    }

    /// What the socket does next with its bytes.
    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.all.get_mut(id).map(|c| &mut c.wire)
    }

    /// Bytes that may come from a client now.
    pub fn room(&mut self, id: ConnId) -> usize {
        let message = self.limits.message_bytes;
        self.all.get_mut(id).map_or(0, |c| {
            let limit = c.limit(message);
            c.wire.read_capacity(limit)
        })
    }

    /// Reads a client's messages up to the first thing that must be done for it.
    pub fn next(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Said> {
        let message = self.limits.message_bytes;
        let c = self.all.get_mut(id)?;
        while !c.last {
            match c.session.feed(&mut c.wire.input, &mut c.wire.output) {
                Err(fault) => {
                    self.counts.malformed += 1;
                    out.saw(Coverage::ClientMalformed);
                    c.last = true;
                    info!(%fault, "client ended");
                }
                Ok(None) => {
                    if c.wire.read_closed || (c.wire.peer_closing && c.session.is_running()) {
                        return Some(Said::Gone);
                    }
                    let limit = c.limit(message);
                    c.wire.resume_reading(id, limit, out);
                    break;
                }
                Ok(Some(ClientEvent::Started(who))) => {
                    out.cancel_timer(&mut c.startup);
                    debug!(user = %who.user, database = %who.database, application = %who.application, "client");
                }
                Ok(Some(ClientEvent::Run(unit))) => return Some(Said::Run(unit)),
                Ok(Some(ClientEvent::More { frames, suppress_acks, is_last })) => {
                    if let Some(query) = c.running {
                        return Some(Said::More(query, frames, suppress_acks, is_last));
                    }
                }
                Ok(Some(ClientEvent::Cancel { pid, key })) => {
                    c.last = true;
                    return Some(Said::Cancel(pid, key));
                }
                Ok(Some(ClientEvent::Closed)) => c.last = true,
            }
        }
        if c.last && (c.session.is_running() || c.wire.output.is_empty()) {
            return Some(Said::Gone);
        }
        c.wire.flush(id, out);
        None
    }

    /// Whether a client is gone or about to leave.
    pub fn is_leaving(&self, id: ConnId) -> bool {
        self.all.get(id).is_none_or(|c| c.wire.read_closed || c.wire.peer_closing)
    }

    pub fn session(&self, id: ConnId) -> Option<&Session> {
        self.all.get(id).map(|c| &c.session)
    }

    /// The query of a client's unit.
    pub fn runs(&mut self, id: ConnId, query: QueryId) {
        if let Some(c) = self.all.get_mut(id) {
            c.running = Some(query);
        }
    }

    /// The query that the holder of a key runs.
    pub fn query_of(&self, pid: i32, key: &[u8]) -> Option<(ConnId, QueryId)> {
        let (known, id) = self.keys.get(&pid)?;
        let query = self.all.get(*id).filter(|_| known.to_be_bytes() == key)?.running?;
        Some((*id, query))
    }

    /// Where the answer of a client goes.
    pub fn sink(&mut self, id: ConnId) -> Option<&mut BytesMut> {
        self.all.get_mut(id).map(|c| &mut c.wire.output)
    }

    /// Something went to a client's output.
    pub fn flush(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(c) = self.all.get_mut(id) {
            c.wire.flush(id, out);
        }
    }

    /// A client's unit ended without an answer of an engine. Look at its [`Clients::next`].
    pub fn unserved(&mut self, id: ConnId, trouble: &Diagnostic) {
        if let Some(c) = self.all.get_mut(id) {
            c.running = None;
            c.session.unit_failed(trouble, &mut c.wire.output);
        }
    }

    /// A client's unit was served. Look at its [`Clients::next`].
    pub fn served(&mut self, id: ConnId, errored: bool) {
        if let Some(c) = self.all.get_mut(id) {
            c.running = None;
            c.session.unit_completed(errored, &mut c.wire.output);
        }
    }

    /// Bytes have gone to a client. The session with an engine that may go on, and whether the client is done with.
    pub fn wrote(&mut self, id: ConnId, n: usize, out: &mut EffectQueue) -> (Option<ConnId>, bool) {
        let Some(c) = self.all.get_mut(id) else { return (None, false) };
        let all = c.wire.advance_written(n);
        if n > 0 {
            c.moved = out.now;
        }
        // A session that waits goes on once half of the room is free.
        let go_on = if c.wire.output.len() <= self.buffer / 2 { c.pauses.take() } else { None };
        (go_on, all && c.last)
    }

    /// A client's output is full: its engine waits, but not for ever.
    pub fn pause(&mut self, id: ConnId, session: ConnId, out: &mut EffectQueue) {
        if let Some(c) = self.all.get_mut(id) {
            out.saw(Coverage::ClientPaused);
            if c.pauses.replace(session).is_none() {
                out.set_timer_after(self.patience, TimerEvent::Reader(id));
            }
            c.wire.flush(id, out);
        }
    }

    /// Whether a session waits for a client.
    pub fn pauses(&self, id: ConnId, session: ConnId) -> bool {
        self.all.get(id).is_some_and(|c| c.pauses == Some(session))
    }

    /// A session waits no more for a client.
    pub fn unpause(&mut self, id: ConnId, session: ConnId) {
        if let Some(c) = self.all.get_mut(id) {
            c.pauses = c.pauses.filter(|paused| *paused != session);
        }
    }

    /// True for a client that has taken nothing of its answer for too long.
    pub fn reader_stalled(&mut self, id: ConnId, out: &mut EffectQueue) -> bool {
        let Some(c) = self.all.get(id).filter(|c| c.pauses.is_some()) else { return false };
        if out.now - c.moved >= self.patience {
            out.saw(Coverage::ClientStalled);
            info!("a client that takes nothing of its answer is closed");
            return true;
        }
        let at = c.moved + self.patience;
        out.set_timer_at(at, TimerEvent::Reader(id));
        false
    }

    /// A client has not introduced itself in time.
    pub fn startup_late(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(c) = self.all.get_mut(id).filter(|c| !c.session.is_started()) else { return };
        c.startup = None;
        out.saw(Coverage::ClientStartupLate);
        c.session
            .close_with_error(&Diagnostic::fatal("08P01", "no startup packet in time"), &mut c.wire.output);
        c.last = true;
        c.wire.flush(id, out);
    }

    /// The controller stops: ends all with nothing running.
    pub fn end_idle(&mut self, out: &mut EffectQueue) {
        let all: Vec<ConnId> = self.all.iter().map(|(id, _)| id).collect();
        for id in all {
            self.end(id, out);
        }
    }

    /// The controller stops: ends a client with nothing running.
    pub fn end(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(c) = self.all.get_mut(id).filter(|c| c.running.is_none() && !c.last) else { return };
        out.saw(Coverage::ClientStopped);
        let trouble =
            Diagnostic::fatal("57P01", "the controller stops").hint("connect again, to another one");
        c.session.close_with_error(&trouble, &mut c.wire.output);
        c.last = true;
        c.wire.flush(id, out);
    }

    /// A client can be told nothing more: its connection closes. The query that it waited for is told.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<QueryId> {
        let mut c = self.all.remove(id)?;
        out.cancel_timer(&mut c.startup);
        if self.keys.get(&c.pid).is_some_and(|(_, of)| *of == id) {
            self.keys.remove(&c.pid);
        }
        out.saw(if c.running.is_some() { Coverage::ClientGoneRunning } else { Coverage::ClientGoneIdle });
        out.push(Effect::Close(id));
        c.running
    }
}
