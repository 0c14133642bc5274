//! Sessions with engines, each by itself: one query at a time, its answer read on to its client.

use crate::effect_queue::{Effect, EffectQueue};
use crate::timer_event::TimerEvent;
use bytes::BytesMut;
use std::collections::BTreeMap;
use wheelfield::interface::{EngineId, QueryId};
use wheelfield_driver::{AttemptId, AttemptOptions};
use wheelfield_pg::backend::{Backend, BackendEvent};
use wheelfield_pg::frontend_messages;
use wheelfield_sans_io::ConnectionBuffer;
use wheelfield_sans_io::{ConnId, ConnectionTable, TimerKey};

pub(crate) const ROOM: u8 = 2;
/// Read from an engine at a time.
const READ: usize = 64 << 10;
/// For a message that is not a row and longer than that.
const READ_LONG: usize = (1 << 20) + READ;

/// What a session does.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Job {
    /// An attempt, and its client while that wants the answer.
    Attempt { id: AttemptId, client: Option<ConnId> },
    /// A question on the engine's load.
    Probe,
    /// Something whose answer nobody waits for.
    Aside,
}

/// A session with an engine.
#[derive(Debug)]
pub(crate) struct Session {
    pub engine: EngineId,
    pub wire: ConnectionBuffer,
    pub backend: Backend,
    pub job: Option<Job>,
    terms: AttemptOptions,
    pub timer: Option<TimerKey>,
    /// A request to cancel is under way: the session is not used until that is over.
    pub cancelling: bool,
    /// Bytes that were to be written as the attempt was put on it; none of it ran while so many are.
    pub unsent: Option<usize>,
    /// When it last took something of an answer.
    pub progress: i64,
    pub idle_since: i64,
    /// Its client must take something first.
    paused: bool,
    /// A long message needs more room.
    long: bool,
}

impl Session {
    fn limit(&self) -> usize {
        match (self.paused, self.long) {
            (true, _) => 0,
            (_, true) => READ_LONG,
            _ => READ,
        }
    }

    /// The client that wants the answer.
    pub fn client(&self) -> Option<ConnId> {
        match self.job {
            Some(Job::Attempt { client, .. }) => client,
            _ => None,
        }
    }

    /// The session is clean and nothing is to be done on it. `early` is a planted fault: a cancel under way is no hindrance.
    pub fn free(&self, early: bool) -> bool {
        self.job.is_none() && (early || !self.cancelling) && self.backend.is_idle()
    }
}

/// What came of reading a session.
pub(crate) enum Fed {
    /// Nothing more for now.
    Dry,
    /// Its client, which must take something first.
    Full(ConnId),
    /// It is of no more use, for this reason.
    Lost(String),
    /// Something that must be known; read on after it.
    Heard(BackendEvent),
}

/// All sessions with all engines.
#[derive(Debug)]
pub(crate) struct Sessions {
    all: ConnectionTable<Session>,
    /// Which session carries an attempt.
    flights: BTreeMap<AttemptId, ConnId>,
    user: String,
    database: String,
    label: String,
    /// Engines heed terms.
    termed: bool,
    buffer: usize,
}

impl Sessions {
    pub fn new(config: &wheelfield_config::Config) -> Sessions {
        let s = &config.settings;
        Sessions {
            all: ConnectionTable::new(ROOM),
            flights: BTreeMap::new(),
            user: config.user.clone(),
            database: config.database.clone(),
            label: format!("wheelfield/{}", s.gateway_index),
            termed: s.priorities || s.memory_grants,
            buffer: config.limits.max_buffered_bytes,
        }
    }

    pub fn len(&self) -> usize {
        self.all.len()
    }

    pub fn get(&self, id: ConnId) -> Option<&Session> {
        self.all.get(id)
    }

    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Session> {
        self.all.get_mut(id)
    }

    pub fn wire(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.all.get_mut(id).map(|s| &mut s.wire)
    }

    pub fn room(&mut self, id: ConnId) -> usize {
        self.all.get_mut(id).map_or(0, |s| {
            let limit = s.limit();
            s.wire.read_capacity(limit)
        })
    }

    /// Opens a session: the startup is written once it is connected.
    pub fn open(&mut self, engine: EngineId, out: &mut EffectQueue) -> ConnId {
        let mut wire = ConnectionBuffer::default();
        let backend = Backend::start(&self.user, &self.database, &self.label, &mut wire.output);
        self.all.insert(Session {
            engine,
            wire,
            backend,
            job: None,
            terms: AttemptOptions::default(),
            timer: None,
            cancelling: false,
            unsent: None,
            progress: out.now,
            idle_since: out.now,
            paused: false,
            long: false,
        })
    }

    /// The session that carries an attempt.
    pub fn carrier(&self, attempt: AttemptId) -> Option<ConnId> {
        self.flights.get(&attempt).copied()
    }

    /// The sessions that carry attempts of a query.
    pub fn carriers(&self, query: QueryId) -> Vec<ConnId> {
        let of = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        self.flights.range(of).map(|(_, id)| *id).collect()
    }

    /// Part of a long row has gone to the client of a query: nothing else can be told it.
    pub fn amid_row(&self, query: QueryId) -> bool {
        let of = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        self.flights.range(of).any(|(_, id)| self.get(*id).is_some_and(|s| s.backend.is_mid_row()))
    }

    /// An attempt is over on its session.
    pub fn landed(&mut self, attempt: AttemptId) {
        self.flights.remove(&attempt);
    }

    /// Puts an attempt on a clean session.
    pub fn put(
        &mut self,
        id: ConnId,
        attempt: AttemptId,
        unit: &crate::in_flight::InHand,
        out: &mut EffectQueue,
    ) {
        let termed = self.termed;
        let Some(s) = self.all.get_mut(id) else { return };
        let change = termed && s.terms != unit.terms;
        let set = change.then(|| {
            let AttemptOptions { grant_mb, priority } = unit.terms;
            format!("SET wheelfield.priority = {priority}; SET wheelfield.grant_mb = {grant_mb:.0}")
        });
        s.terms = if change { unit.terms } else { s.terms };
        let of = &unit.unit;
        let bytes = &mut s.wire.output;
        s.backend.run(set.as_deref(), &of.frames, &of.suppress_acks, of.open, bytes);
        for (i, (frames, swallow)) in unit.more.iter().enumerate() {
            let sealed = unit.sealed && i + 1 == unit.more.len();
            s.backend.append(frames, swallow, sealed, bytes);
        }
        s.unsent = Some(bytes.len());
        s.progress = out.now;
        s.job = Some(Job::Attempt { id: attempt, client: Some(unit.client) });
        s.wire.flush(id, out);
        self.flights.insert(attempt, id);
    }

    /// Writes a text of our own to a clean session.
    pub fn put_own(&mut self, id: ConnId, job: Job, text: &str, out: &mut EffectQueue) {
        let Some(s) = self.all.get_mut(id) else { return };
        let mut frames = BytesMut::new();
        frontend_messages::put_query(text, &mut frames);
        s.job = Some(job);
        s.backend.run(None, &frames, &[], false, &mut s.wire.output);
        s.wire.flush(id, out);
    }

    /// More of an open unit goes to the sessions that carry it.
    pub fn more(
        &mut self,
        query: QueryId,
        frames: &[u8],
        swallow: &[bool],
        sealed: bool,
        out: &mut EffectQueue,
    ) {
        for id in self.carriers(query) {
            if let Some(s) = self.all.get_mut(id) {
                s.backend.append(frames, swallow, sealed, &mut s.wire.output);
                s.wire.flush(id, out);
            }
        }
    }

    /// Reads on, up to the first thing that must be known. Rows go to `sink`, if somebody wants them.
    pub fn feed(&mut self, id: ConnId, sink: Option<&mut BytesMut>, out: &mut EffectQueue) -> Fed {
        let room = self.buffer;
        let Some(s) = self.all.get_mut(id) else { return Fed::Dry };
        let mut nobody = BytesMut::new();
        let sink = sink.unwrap_or(&mut nobody);
        let (before, begun) = (s.wire.input.len(), s.backend.response_started());
        let heard = match s.backend.feed(&mut s.wire.input, sink, room) {
            Ok(heard) => heard,
            Err(fault) => return Fed::Lost(fault.to_string()),
        };
        let took = s.wire.input.len() < before;
        if took {
            s.progress = out.now;
            s.long = false;
        }
        s.paused = false;
        if heard != BackendEvent::Pending {
            return Fed::Heard(heard);
        }
        if let Some(client) = s.client().filter(|_| begun && sink.len() >= room) {
            s.paused = true;
            return Fed::Full(client);
        }
        if s.wire.read_closed {
            return Fed::Lost("the engine closed the connection".to_string());
        }
        // A long message that is not a row needs more room to be whole.
        s.long |= !took && s.wire.input.len() >= READ;
        let limit = s.limit();
        s.wire.resume_reading(id, limit, out);
        Fed::Dry
    }

    /// Nobody wants a session's answer any more. The client that did; none if nobody did before.
    pub fn discard(&mut self, id: ConnId, patience: i64, out: &mut EffectQueue) -> Option<ConnId> {
        let s = self.all.get_mut(id)?;
        let was = match &mut s.job {
            Some(Job::Attempt { client, .. }) => Some(client.take()?),
            _ => None,
        };
        s.backend.discard(&mut s.wire.output);
        s.wire.flush(id, out);
        out.reset_timer(&mut s.timer, patience, TimerEvent::Abandon(id));
        was
    }

    /// Closes a session. What it was.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Session> {
        let mut s = self.all.remove(id)?;
        out.cancel_timer(&mut s.timer);
        if let Some(Job::Attempt { id: attempt, .. }) = &s.job {
            self.flights.remove(attempt);
        }
        out.push(Effect::Close(id));
        Some(s)
    }
}
