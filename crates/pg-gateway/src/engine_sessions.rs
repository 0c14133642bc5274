//! Engine sessions: each runs one query at a time and forwards its answer to the client.

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

pub(crate) const CONNECTION_OWNER: u8 = 2;
/// Maximum number of buffered bytes of an engine.
const READ_LIMIT: usize = 64 << 10;
/// Read limit for a message that is longer than [`READ_LIMIT`] and not a row.
const LONG_MESSAGE_READ_LIMIT: usize = (1 << 20) + READ_LIMIT;

/// What a session is running.
#[derive(Clone, Copy, Debug)]
pub(crate) enum Job {
    /// An attempt, and its client as long as it wants the answer.
    Attempt { id: AttemptId, client: Option<ConnId> },
    /// A query of the engine's load.
    Probe,
    /// A statement whose result is ignored.
    Discarded,
}

/// An attempt in the output of a session of which nothing was written yet.
#[derive(Clone, Copy, Debug)]
struct UnwrittenAttempt {
    /// Number of bytes in the output that precede it.
    preceding_bytes: usize,
    /// The options of the session before it.
    former_options: AttemptOptions,
}

/// A session with an engine.
#[derive(Debug)]
pub(crate) struct Session {
    pub engine: EngineId,
    pub buffer: ConnectionBuffer,
    pub backend: Backend,
    pub job: Option<Job>,
    options: AttemptOptions,
    pub timer: Option<TimerKey>,
    /// A cancel request is in progress: the session must not be reused before that has finished, since it
    /// could end the next query.
    pub cancelling: bool,
    /// The attempt, as long as the engine has received nothing of it.
    unwritten: Option<UnwrittenAttempt>,
    /// When part of an answer was last processed.
    pub last_progress_at: i64,
    pub idle_since: i64,
    /// Reading is paused because the client's output buffer is full.
    paused: bool,
    /// A long message needs a larger read limit.
    reading_long_message: bool,
}

impl Session {
    fn read_limit(&self) -> usize {
        match (self.paused, self.reading_long_message) {
            (true, _) => 0,
            (_, true) => LONG_MESSAGE_READ_LIMIT,
            _ => READ_LIMIT,
        }
    }

    /// The client that wants the answer.
    pub fn client(&self) -> Option<ConnId> {
        match self.job {
            Some(Job::Attempt { client, .. }) => client,
            _ => None,
        }
    }

    /// Whether the engine has received nothing of the attempt.
    pub fn has_unwritten_attempt(&self) -> bool {
        self.unwritten.is_some()
    }

    /// Whether the engine has closed the session, or is about to.
    pub fn is_closing(&self) -> bool {
        self.buffer.peer_closing || self.buffer.read_closed
    }

    /// Whether the session can run another query. `ignore_cancel` is an injected fault that disregards a
    /// cancel request in progress.
    pub fn is_free(&self, ignore_cancel: bool) -> bool {
        self.job.is_none() && (ignore_cancel || !self.cancelling) && self.backend.is_idle()
    }
}

/// The result of reading a session.
pub(crate) enum ReadOutcome {
    /// More input is needed.
    Incomplete,
    /// The client's output buffer is full.
    OutputFull(ConnId),
    /// The session is unusable, for this reason.
    Lost(String),
    /// An event that must be handled before reading on.
    Event(BackendEvent),
}

/// All engine sessions.
#[derive(Debug)]
pub(crate) struct Sessions {
    sessions: ConnectionTable<Session>,
    /// The session that runs each attempt.
    by_attempt: BTreeMap<AttemptId, ConnId>,
    user: String,
    database: String,
    application_name: String,
    /// Whether engines accept settings for priority and memory grant.
    sets_options: bool,
    output_limit: usize,
}

impl Sessions {
    pub fn new(config: &wheelfield_config::Config) -> Sessions {
        let settings = &config.settings;
        Sessions {
            sessions: ConnectionTable::new(CONNECTION_OWNER),
            by_attempt: BTreeMap::new(),
            user: config.user.clone(),
            database: config.database.clone(),
            application_name: format!("wheelfield/{}", settings.gateway_index),
            sets_options: settings.priorities || settings.memory_grants,
            output_limit: config.limits.max_buffered_bytes,
        }
    }

    pub fn len(&self) -> usize {
        self.sessions.len()
    }

    pub fn get(&self, id: ConnId) -> Option<&Session> {
        self.sessions.get(id)
    }

    pub fn get_mut(&mut self, id: ConnId) -> Option<&mut Session> {
        self.sessions.get_mut(id)
    }

    pub fn buffer(&mut self, id: ConnId) -> Option<&mut ConnectionBuffer> {
        self.sessions.get_mut(id).map(|session| &mut session.buffer)
    }

    pub fn read_capacity(&mut self, id: ConnId) -> usize {
        self.sessions.get_mut(id).map_or(0, |session| {
            let limit = session.read_limit();
            session.buffer.read_capacity(limit)
        })
    }

    /// Opens a session. The startup packet is written once it is connected.
    pub fn open(&mut self, engine: EngineId, out: &mut EffectQueue) -> ConnId {
        let mut buffer = ConnectionBuffer::default();
        let backend = Backend::start(&self.user, &self.database, &self.application_name, &mut buffer.output);
        self.sessions.insert(Session {
            engine,
            buffer,
            backend,
            job: None,
            options: AttemptOptions::default(),
            timer: None,
            cancelling: false,
            unwritten: None,
            last_progress_at: out.now,
            idle_since: out.now,
            paused: false,
            reading_long_message: false,
        })
    }

    /// The session that runs an attempt.
    pub fn session_of(&self, attempt: AttemptId) -> Option<ConnId> {
        self.by_attempt.get(&attempt).copied()
    }

    /// The sessions that run attempts of a query.
    pub fn sessions_of(&self, query: QueryId) -> Vec<ConnId> {
        let attempts = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        self.by_attempt.range(attempts).map(|(_, id)| *id).collect()
    }

    /// Whether the client of a query has received only part of a long row, so that nothing else can be sent
    /// to it.
    pub fn has_partial_row(&self, query: QueryId) -> bool {
        let attempts = AttemptId { query, number: 0 }..=AttemptId { query, number: usize::MAX };
        self.by_attempt
            .range(attempts)
            .any(|(_, id)| self.get(*id).is_some_and(|session| session.backend.is_mid_row()))
    }

    /// Removes an attempt that has ended from the index.
    pub fn release_attempt(&mut self, attempt: AttemptId) {
        self.by_attempt.remove(&attempt);
    }

    /// Adds an attempt to the output of an idle session.
    pub fn queue_attempt(
        &mut self,
        id: ConnId,
        attempt: AttemptId,
        query: &crate::in_flight::InFlightQuery,
        out: &mut EffectQueue,
    ) {
        let sets_options = self.sets_options;
        let Some(session) = self.sessions.get_mut(id) else { return };
        let options_differ = sets_options && session.options != query.options;
        let set_statements = options_differ.then(|| {
            let AttemptOptions { grant_mb, priority } = query.options;
            format!("SET wheelfield.priority = {priority}; SET wheelfield.grant_mb = {grant_mb:.0}")
        });
        session.unwritten = Some(UnwrittenAttempt {
            preceding_bytes: session.buffer.output.len(),
            former_options: session.options,
        });
        session.options = if options_differ { query.options } else { session.options };
        let unit = &query.unit;
        let output = &mut session.buffer.output;
        session.backend.run(set_statements.as_deref(), &unit.frames, &unit.suppress_acks, unit.open, output);
        for (i, (frames, suppress_acks)) in query.continuations.iter().enumerate() {
            let is_last = query.is_complete && i + 1 == query.continuations.len();
            session.backend.append(frames, suppress_acks, is_last, output);
        }
        session.last_progress_at = out.now;
        session.job = Some(Job::Attempt { id: attempt, client: Some(query.client) });
        session.buffer.flush(id, out);
        self.by_attempt.insert(attempt, id);
    }

    /// Removes bytes that were written from the output. Returns the attempt whose first byte is among them.
    pub fn bytes_written(&mut self, id: ConnId, count: usize) -> Option<AttemptId> {
        let session = self.sessions.get_mut(id)?;
        session.buffer.advance_written(count);
        let unwritten = session.unwritten.as_mut()?;
        if count <= unwritten.preceding_bytes {
            unwritten.preceding_bytes -= count;
            return None;
        }
        session.unwritten = None;
        match session.job {
            Some(Job::Attempt { id: attempt, .. }) => Some(attempt),
            _ => None,
        }
    }

    /// The sessions with attempts of which nothing was written yet.
    pub fn with_unwritten_attempts(&self) -> Vec<ConnId> {
        let sessions = self.by_attempt.values().copied();
        sessions.filter(|id| self.get(*id).is_some_and(Session::has_unwritten_attempt)).collect()
    }

    /// Takes an attempt of which nothing was written back from its session, which is idle then. An attempt
    /// that is being cancelled stays.
    pub fn withdraw_unwritten(&mut self, id: ConnId) -> Option<AttemptId> {
        let session = self.sessions.get_mut(id).filter(|session| !session.cancelling)?;
        let Some(Job::Attempt { id: attempt, client: Some(_) }) = session.job else { return None };
        let unwritten = session.unwritten.take()?;
        let end = session.buffer.output.len();
        session.buffer.remove_output(unwritten.preceding_bytes..end);
        session.options = unwritten.former_options;
        session.backend.withdraw();
        session.job = None;
        self.by_attempt.remove(&attempt);
        Some(attempt)
    }

    /// Writes a statement of the gateway itself to an idle session.
    pub fn write_statement(&mut self, id: ConnId, job: Job, statement: &str, out: &mut EffectQueue) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let mut frames = BytesMut::new();
        frontend_messages::put_query(statement, &mut frames);
        session.job = Some(job);
        session.backend.run(None, &frames, &[], false, &mut session.buffer.output);
        session.buffer.flush(id, out);
    }

    /// Forwards further messages of an open unit to the sessions that run it. `suppress_acks` tells for each
    /// completion message whether it is kept from the client; `is_last` completes the unit.
    pub fn continue_unit(
        &mut self,
        query: QueryId,
        frames: &[u8],
        suppress_acks: &[bool],
        is_last: bool,
        out: &mut EffectQueue,
    ) {
        for id in self.sessions_of(query) {
            if let Some(session) = self.sessions.get_mut(id) {
                session.backend.append(frames, suppress_acks, is_last, &mut session.buffer.output);
                session.buffer.flush(id, out);
            }
        }
    }

    /// Reads a session up to the next event. Rows are written to `sink`, if given, and discarded otherwise.
    pub fn read(&mut self, id: ConnId, sink: Option<&mut BytesMut>, out: &mut EffectQueue) -> ReadOutcome {
        let output_limit = self.output_limit;
        let Some(session) = self.sessions.get_mut(id) else { return ReadOutcome::Incomplete };
        let mut discarded = BytesMut::new();
        let sink = sink.unwrap_or(&mut discarded);
        let (input_before, response_started) =
            (session.buffer.input.len(), session.backend.response_started());
        let event = match session.backend.feed(&mut session.buffer.input, sink, output_limit) {
            Ok(event) => event,
            Err(error) => return ReadOutcome::Lost(error.to_string()),
        };
        let consumed = session.buffer.input.len() < input_before;
        if consumed {
            session.last_progress_at = out.now;
            session.reading_long_message = false;
        }
        session.paused = false;
        if event != BackendEvent::Pending {
            return ReadOutcome::Event(event);
        }
        if let Some(client) = session.client().filter(|_| response_started && sink.len() >= output_limit) {
            session.paused = true;
            return ReadOutcome::OutputFull(client);
        }
        if session.buffer.read_closed {
            return ReadOutcome::Lost("the engine closed the connection".to_string());
        }
        // A message other than a row is processed whole, so a long one needs a larger read limit.
        session.reading_long_message |= !consumed && session.buffer.input.len() >= READ_LIMIT;
        let limit = session.read_limit();
        session.buffer.resume_reading(id, limit, out);
        ReadOutcome::Incomplete
    }

    /// Discards the rest of an answer. Returns the client that wanted it; `None` if the answer was already
    /// being discarded.
    pub fn discard(&mut self, id: ConnId, timeout: i64, out: &mut EffectQueue) -> Option<ConnId> {
        let session = self.sessions.get_mut(id)?;
        let client = match &mut session.job {
            Some(Job::Attempt { client, .. }) => Some(client.take()?),
            _ => None,
        };
        session.backend.discard(&mut session.buffer.output);
        session.buffer.flush(id, out);
        out.reset_timer(&mut session.timer, timeout, TimerEvent::DiscardTimeout(id));
        client
    }

    /// Closes and returns a session.
    pub fn remove(&mut self, id: ConnId, out: &mut EffectQueue) -> Option<Session> {
        let mut session = self.sessions.remove(id)?;
        out.cancel_timer(&mut session.timer);
        if let Some(Job::Attempt { id: attempt, .. }) = &session.job {
            self.by_attempt.remove(attempt);
        }
        out.push(Effect::Close(id));
        Some(session)
    }
}
