//! The side of the engines: sessions are opened, kept, given to attempts and probes, and broken. What must be known of
//! it comes out as [`Word`]s; nothing here knows of clients but by the numbers of their connections.

use crate::cancels::Cancels;
use crate::coverage::Coverage;
use crate::effect_queue::{Effect, EffectQueue};
use crate::engine_sessions::{Fed, Job, Sessions};
use crate::fault_injection::FaultInjection;
use crate::in_flight::InHand;
use crate::pools::Pools;
use crate::timer_event::TimerEvent;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::debug;
use wheelfield::interface::{AttemptUpdate, EngineId, LoadReport, Outcome, QueryId};
use wheelfield_config::Config;
use wheelfield_driver::{AttemptId, AttemptOptions};
use wheelfield_pg::backend::{self, BackendEvent, QUERY_CANCELED};
use wheelfield_sans_io::ConnId;

/// A session whose answer nobody wants must come clean within so many microseconds, where engines heed no cancels: the query
/// runs to its end. Where they do, what is not confirmed counts as ended after `timing.withdraw`, and is ended then by the
/// end of its session.
const ABANDON_UNHEEDED: i64 = 60_000_000;

/// What came of the engines' side.
#[derive(Debug)]
pub(crate) enum Word {
    /// A session is there for an attempt.
    Free(ConnId, AttemptId),
    /// An attempt's answer has its first row, for this client. Let it begin, or discard it; then read on.
    Begins(ConnId, AttemptId, ConnId),
    /// Word on an attempt.
    Noted(AttemptId, AttemptUpdate),
    /// The answer of an attempt is whole. End it by [`Engines::over`].
    Served { session: ConnId, attempt: AttemptId, client: Option<ConnId>, errored: bool, clean: bool },
    /// An attempt ended otherwise. The reason is for the log.
    Ended {
        attempt: AttemptId,
        engine: EngineId,
        outcome: Outcome,
        report: LoadReport,
        reason: Option<String>,
    },
    /// A probe came back, or did not.
    Probed(EngineId, Outcome, LoadReport),
    /// A client got part of a row: no error can be told it.
    Cut(ConnId),
    /// A session may be read on; the client that it waited for wants nothing more of it.
    Readable(ConnId, Option<ConnId>),
}

/// How far a session was read.
#[derive(Clone, Copy, Debug, PartialEq, Eq)]
pub(crate) enum Progress {
    /// As far as it goes.
    Done,
    /// There may be more once what came of it is known.
    More,
    /// Its client must take something first.
    Full(ConnId),
}

/// An engine's load as the module reads it.
pub(crate) fn report(load: backend::Load) -> LoadReport {
    LoadReport {
        utilisation: load.util,
        in_flight: load.in_flight,
        queued: load.queue,
        memory_granted: load.memory,
        disk_utilisation: load.disks,
    }
}

/// The side of the engines.
#[derive(Debug)]
pub(crate) struct Engines {
    pub sessions: Sessions,
    pub pools: Pools,
    cancels: Cancels,
    words: VecDeque<Word>,
    most: usize,
    heeded: bool,
    timing: wheelfield_config::Timing,
    /// A planted fault.
    plant: Option<FaultInjection>,
}

impl Engines {
    pub fn new(config: &Config, plant: Option<FaultInjection>) -> Engines {
        Engines {
            sessions: Sessions::new(config),
            pools: Pools::default(),
            cancels: Cancels::new(),
            words: VecDeque::new(),
            most: config.limits.max_engine_sessions,
            heeded: config.settings.cancellation,
            timing: config.timing,
            plant: plant.filter(|_| cfg!(feature = "planted")),
        }
    }

    /// The next thing that must be known.
    pub fn word(&mut self) -> Option<Word> {
        self.words.pop_front()
    }

    /// An engine as it is listed now.
    pub fn listed(&mut self, engine: EngineId, address: SocketAddr, up: bool, out: &mut EffectQueue) {
        for id in self.pools.listed(engine, address, up) {
            self.drop(id, out);
        }
    }

    // --- attempts ---

    /// Finds a session for an attempt, or opens one.
    pub fn launch(&mut self, attempt: AttemptId, engine: EngineId, out: &mut EffectQueue) {
        let Some(pool) = self.pools.get_mut(engine) else {
            return self.ended(attempt, engine, Outcome::ConnectFailed);
        };
        while let Some(id) = pool.idle.pop() {
            if self.sessions.get(id).is_some_and(|s| !s.wire.peer_closing && !s.wire.read_closed) {
                out.saw(Coverage::SessionReused);
                return self.words.push_back(Word::Free(id, attempt));
            }
        }
        if pool.sessions >= self.most {
            out.saw(Coverage::NoneFree);
            debug!(query = attempt.query.0, engine = engine.0, "no session free");
            return self.ended(attempt, engine, Outcome::Full);
        }
        pool.waiting.push_back(attempt);
        self.open(engine, out);
    }

    fn ended(&mut self, attempt: AttemptId, engine: EngineId, outcome: Outcome) {
        let report = LoadReport::default();
        self.words.push_back(Word::Ended { attempt, engine, outcome, report, reason: None });
    }

    /// Opens a session with an engine.
    pub fn open(&mut self, engine: EngineId, out: &mut EffectQueue) {
        let Some(pool) = self.pools.get_mut(engine) else { return };
        (pool.sessions, pool.connecting) = (pool.sessions + 1, pool.connecting + 1);
        let address = pool.address;
        out.saw(Coverage::SessionOpened);
        let id = self.sessions.open(engine, out);
        if let Some(s) = self.sessions.get_mut(id) {
            out.reset_timer(&mut s.timer, self.timing.connect_timeout.0, TimerEvent::Connect(id));
        }
        out.push(Effect::Connect(id, address));
    }

    /// A session that was to come did not: the first that waits for one is told.
    fn none_for_waiting(&mut self, engine: EngineId, outcome: Outcome) {
        let Some(pool) = self.pools.get_mut(engine) else { return };
        if std::mem::take(&mut pool.probing) {
            self.words.push_back(Word::Probed(engine, outcome, LoadReport::default()));
        }
        if pool.waiting.len() > pool.connecting {
            if let Some(attempt) = pool.waiting.pop_front() {
                self.ended(attempt, engine, outcome);
            }
        }
    }

    /// Writes an attempt to a session that is there for it.
    pub fn put(&mut self, id: ConnId, attempt: AttemptId, unit: &InHand, out: &mut EffectQueue) {
        self.sessions.put(id, attempt, unit, out);
    }

    /// A clean session takes the next that waits for one, or rests.
    pub fn rest(&mut self, id: ConnId, out: &mut EffectQueue) {
        let reused = self.plant == Some(FaultInjection::Reuse);
        let Some(s) = self.sessions.get_mut(id).filter(|s| s.free(reused)) else { return };
        out.cancel_timer(&mut s.timer);
        s.idle_since = out.now;
        let engine = s.engine;
        let Some(pool) = self.pools.get_mut(engine) else { return self.drop(id, out) };
        if std::mem::take(&mut pool.probing) {
            return self.put_probe(id, out);
        }
        if let Some(attempt) = pool.waiting.pop_front() {
            return self.words.push_back(Word::Free(id, attempt));
        }
        if pool.up || self.plant == Some(FaultInjection::Drained) {
            pool.idle.push(id);
        } else {
            self.drop(id, out);
        }
    }

    /// A session is connected: its startup goes out.
    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(s) = self.sessions.get_mut(id) {
            s.wire.flush(id, out);
        }
    }

    /// Reads a session on.
    pub fn read(&mut self, id: ConnId, sink: Option<&mut BytesMut>, out: &mut EffectQueue) -> Progress {
        match self.sessions.feed(id, sink, out) {
            Fed::Dry => Progress::Done,
            Fed::Full(client) => Progress::Full(client),
            Fed::Lost(reason) => {
                self.lost(id, Outcome::Reset, &reason, out);
                Progress::Done
            }
            Fed::Heard(heard) => {
                self.heard(id, heard, out);
                Progress::More
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn heard(&mut self, id: ConnId, heard: BackendEvent, out: &mut EffectQueue) {
        let Some(s) = self.sessions.get_mut(id) else { return };
        let engine = s.engine;
        match heard {
            BackendEvent::Pending => {}
            BackendEvent::Started => {
                if let Some(pool) = self.pools.get_mut(engine) {
                    pool.connecting = pool.connecting.saturating_sub(1);
                }
                self.rest(id, out);
            }
            BackendEvent::StartupFailed { sqlstate: state, message } => {
                let outcome = if state.starts_with("53") { Outcome::Full } else { Outcome::ConnectFailed };
                self.lost(id, outcome, &format!("{state} {message}"), out);
            }
            BackendEvent::ResponseStarted => match s.job {
                Some(Job::Attempt { id: attempt, client: Some(client) }) => {
                    self.words.push_back(Word::Begins(id, attempt, client));
                }
                _ => self.discard(id, out),
            },
            BackendEvent::QueryStatus(note) => {
                if let Some(Job::Attempt { id: attempt, .. }) = s.job {
                    let note = match note {
                        backend::QueryStatus::Progress(share) => AttemptUpdate::Progress(share),
                        backend::QueryStatus::Spills(mb) => AttemptUpdate::Spills(mb),
                        backend::QueryStatus::WaitsForMemory => AttemptUpdate::WaitsForMemory,
                        backend::QueryStatus::WaitsForLoad => AttemptUpdate::WaitsForLoad,
                    };
                    self.words.push_back(Word::Noted(attempt, note));
                }
            }
            BackendEvent::Completed { has_query_error: errored, reusable: clean } => match s.job.take() {
                Some(Job::Attempt { id: attempt, client }) => {
                    self.sessions.landed(attempt);
                    self.words.push_back(Word::Served { session: id, attempt, client, errored, clean });
                }
                job => {
                    if let Some(Job::Probe) = job {
                        let report = report(s.backend.load());
                        self.words.push_back(Word::Probed(engine, Outcome::Served, report));
                    }
                    self.over(id, clean, out);
                }
            },
            BackendEvent::EngineError { sqlstate: state, message, reusable: clean } => {
                let begun = s.backend.response_started();
                let report = report(s.backend.load());
                let outcome = match state.as_str() {
                    "53300" | "57P03" if !begun => Outcome::Full,
                    QUERY_CANCELED => Outcome::Cancelled,
                    _ => Outcome::Error,
                };
                out.saw(if outcome == Outcome::Full {
                    Coverage::EngineRefused
                } else {
                    Coverage::EngineErrored
                });
                match s.job.take() {
                    Some(Job::Attempt { id: attempt, .. }) => {
                        self.sessions.landed(attempt);
                        let reason = Some(format!("{state} {message}"));
                        self.words.push_back(Word::Ended { attempt, engine, outcome, report, reason });
                    }
                    Some(Job::Probe) => self.words.push_back(Word::Probed(engine, outcome, report)),
                    Some(Job::Aside) | None => {}
                }
                self.over(id, clean, out);
            }
            BackendEvent::Discarded { reusable: clean } => {
                let report = report(s.backend.load());
                if let Some(Job::Attempt { id: attempt, .. }) = s.job.take() {
                    self.sessions.landed(attempt);
                    let outcome = Outcome::Cancelled;
                    self.words.push_back(Word::Ended { attempt, engine, outcome, report, reason: None });
                }
                self.over(id, clean, out);
            }
        }
    }

    /// An answer goes to its client from here on: what was held back goes first.
    pub fn begin(&mut self, id: ConnId, sink: &mut BytesMut, out: &mut EffectQueue) {
        let stall = self.timing.answer_stall_timeout.0;
        if let Some(s) = self.sessions.get_mut(id) {
            s.backend.start_response(sink);
            out.reset_timer(&mut s.timer, stall, TimerEvent::Stall(id));
        }
    }

    /// A unit is over: the session is kept if it is clean.
    pub fn over(&mut self, id: ConnId, clean: bool, out: &mut EffectQueue) {
        if let Some(s) = self.sessions.get_mut(id) {
            out.cancel_timer(&mut s.timer);
        }
        if clean {
            self.rest(id, out);
        } else {
            out.saw(Coverage::Unclean);
            self.drop(id, out);
        }
    }

    /// A session broke, or never came about.
    pub fn lost(&mut self, id: ConnId, outcome: Outcome, reason: &str, out: &mut EffectQueue) {
        let Some(s) = self.sessions.get_mut(id) else { return };
        let (engine, starting) = (s.engine, s.backend.is_starting());
        let job = s.job;
        // What the engine told before it went is more than that it went.
        let outcome = match s.backend.take_engine_error() {
            Some((state, _)) if outcome == Outcome::Reset && state != QUERY_CANCELED => Outcome::Error,
            _ => outcome,
        };
        let (amid_row, unsent) = (s.backend.is_mid_row(), s.unsent.is_some());
        out.saw(match job {
            _ if starting => Coverage::LostStarting,
            None => Coverage::LostIdle,
            _ if amid_row => Coverage::LostAmidRow,
            _ if unsent => Coverage::LostUnsent,
            _ => Coverage::LostRunning,
        });
        self.drop(id, out);
        if starting {
            debug!(engine = engine.0, reason, "no session");
            let outcome = if outcome == Outcome::Full { Outcome::Full } else { Outcome::ConnectFailed };
            return self.none_for_waiting(engine, outcome);
        }
        match job {
            Some(Job::Attempt { id: attempt, client }) => {
                if let Some(client) = client.filter(|_| amid_row) {
                    self.words.push_back(Word::Cut(client));
                }
                let (report, reason) = (LoadReport::default(), Some(reason.to_string()));
                self.words.push_back(Word::Ended { attempt, engine, outcome, report, reason });
            }
            Some(Job::Probe) => self.words.push_back(Word::Probed(engine, outcome, LoadReport::default())),
            Some(Job::Aside) | None => {}
        }
    }

    /// Its socket broke.
    pub fn broken(&mut self, id: ConnId, writing: bool, reason: &str, out: &mut EffectQueue) {
        let Some(s) = self.sessions.get(id) else { return };
        let unsent = s.backend.is_starting() || (writing && s.unsent.is_some());
        self.lost(id, if unsent { Outcome::ConnectFailed } else { Outcome::Reset }, reason, out);
    }

    /// Bytes have gone to an engine.
    pub fn wrote(&mut self, id: ConnId, n: usize) {
        let Some(s) = self.sessions.get_mut(id) else { return };
        s.wire.advance_written(n);
        if s.unsent.is_some_and(|unsent| s.wire.output.len() < unsent) {
            s.unsent = None;
        }
    }

    /// Closes a session; whatever it did is not told.
    fn drop(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(s) = self.sessions.remove(id, out) {
            self.pools.closed(s.engine, id, s.backend.is_starting());
        }
    }

    // --- withdrawing ---

    /// Ends an attempt at its engine. While its answer is `wanted`, one that crosses the request still counts.
    pub fn withdraw(&mut self, attempt: AttemptId, wanted: bool, out: &mut EffectQueue) {
        let Some(id) = self.sessions.carrier(attempt) else {
            out.saw(Coverage::WithdrawnWaiting);
            return self.pools.forget(attempt);
        };
        out.saw(Coverage::Withdrawn);
        if let Some(s) = self.sessions.get_mut(id) {
            s.backend.mark_cancelled();
        }
        if !wanted {
            self.discard(id, out);
        }
        if self.heeded {
            self.send_cancel(id, out);
        }
    }

    /// A query has its final answer: whatever still comes for it goes to nobody, withdrawn or not.
    pub fn detach(&mut self, query: QueryId, out: &mut EffectQueue) {
        for id in self.sessions.carriers(query) {
            self.discard(id, out);
        }
    }

    /// Nobody wants a session's answer any more.
    pub fn discard(&mut self, id: ConnId, out: &mut EffectQueue) {
        let patience = if self.heeded { self.timing.cancel_timeout.0 } else { ABANDON_UNHEEDED };
        // What has not gone whole need not go at all: its engine never runs it, and sees the session end.
        let attempt = |job: Option<Job>| matches!(job, Some(Job::Attempt { .. }));
        if self.sessions.get(id).is_some_and(|s| attempt(s.job) && !s.wire.output.is_empty()) {
            out.saw(Coverage::HalfWritten);
            let unsent = self.sessions.get(id).is_some_and(|s| s.unsent.is_some());
            let outcome = if unsent { Outcome::ConnectFailed } else { Outcome::Cancelled };
            return self.lost(id, outcome, "given up before it was written", out);
        }
        let client = self.sessions.discard(id, patience, out);
        // What it was not let read while its client was slow is read now.
        self.words.push_back(Word::Readable(id, client));
    }

    fn send_cancel(&mut self, id: ConnId, out: &mut EffectQueue) {
        let Some(s) = self.sessions.get_mut(id).filter(|s| !s.cancelling) else { return };
        let Some(key) = s.backend.key() else { return };
        let Some(to) = self.pools.get(s.engine).map(|p| p.address) else { return };
        if self.cancels.begin(id, to, key, 2 * self.timing.connect_timeout.0, out) {
            s.cancelling = true;
            out.saw(Coverage::CancelSent);
        } else {
            out.saw(Coverage::CancelsFull);
            self.lost(id, Outcome::Cancelled, "too many requests to cancel", out);
        }
    }

    /// Connections that are held.
    pub fn connections(&self) -> usize {
        self.sessions.len() + self.cancels.len()
    }

    /// The connections of requests to cancel.
    pub fn cancels(&mut self) -> &mut Cancels {
        &mut self.cancels
    }

    /// A request to cancel could not be handed in: the end of its session ends the query.
    pub fn cancel_failed(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session) = self.cancels.over(id, false, out) {
            out.saw(Coverage::CancelFailed);
            self.lost(session, Outcome::Cancelled, "a request to cancel could not be handed in", out);
        }
    }

    /// A request to cancel is over: its engine has closed the connection.
    pub fn cancel_over(&mut self, id: ConnId, out: &mut EffectQueue) {
        let leaks = self.plant == Some(FaultInjection::Leak);
        let Some(session) = self.cancels.over(id, leaks, out) else { return };
        if let Some(s) = self.sessions.get_mut(session) {
            s.cancelling = false;
            self.rest(session, out);
        }
    }

    /// A request that was not taken may yet be, and would then end another query: the session is of no more use.
    pub fn cancel_late(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session) = self.cancels.over(id, false, out) {
            out.saw(Coverage::CancelLate);
            self.lost(session, Outcome::Cancelled, "a request to cancel was not taken", out);
        }
    }

    // --- time ---

    /// An engine has not let us in in time.
    pub fn connect_late(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.sessions.get(id).is_some_and(|s| s.backend.is_starting()) {
            out.saw(Coverage::ConnectLate);
            self.lost(id, Outcome::ConnectFailed, "no session in time", out);
        }
    }

    /// Looks whether an engine that has begun an answer goes on; `paused` if it waits for its client.
    pub fn stalled(&mut self, id: ConnId, paused: bool, out: &mut EffectQueue) {
        let stall = self.timing.answer_stall_timeout.0;
        let Some(s) = self.sessions.get_mut(id) else { return };
        s.timer = None;
        if s.client().is_none() {
            return;
        }
        if paused {
            s.progress = out.now;
        }
        if out.now - s.progress >= stall {
            out.saw(Coverage::Stalled);
            return self.lost(id, Outcome::TimedOut, "the engine sends nothing more", out);
        }
        s.timer = Some(out.set_timer_at(s.progress + stall, TimerEvent::Stall(id)));
    }

    /// An answer that nobody wants does not end.
    pub fn abandon(&mut self, id: ConnId, out: &mut EffectQueue) {
        out.saw(Coverage::Abandoned);
        self.lost(id, Outcome::Cancelled, "an answer that nobody wants does not end", out);
    }

    /// Closes sessions that were not used for long.
    pub fn close_idle(&mut self, out: &mut EffectQueue) {
        let before = out.now - self.timing.session_idle_timeout.0;
        let resting = self.pools.iter().flat_map(|(_, p)| &p.idle).copied();
        let old: Vec<ConnId> =
            resting.filter(|id| self.sessions.get(*id).is_some_and(|s| s.idle_since < before)).collect();
        for id in old {
            out.saw(Coverage::IdleClosed);
            self.drop(id, out);
        }
    }

    // --- beside queries ---

    /// Asks an engine for its load.
    pub fn probe(&mut self, engine: EngineId, out: &mut EffectQueue) {
        let most = self.most;
        let Some(pool) = self.pools.get_mut(engine) else { return };
        if let Some(id) = pool.idle.pop() {
            return self.put_probe(id, out);
        }
        if pool.probing || pool.sessions >= most {
            return self.words.push_back(Word::Probed(engine, Outcome::NeverSent, LoadReport::default()));
        }
        pool.probing = true;
        self.open(engine, out);
    }

    fn put_probe(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(s) = self.sessions.get_mut(id) {
            out.reset_timer(&mut s.timer, self.timing.probe_timeout.0, TimerEvent::Probe(id));
        }
        self.sessions.put_own(id, Job::Probe, "SHOW wheelfield.load", out);
    }

    /// A probe did not come back in time.
    pub fn probe_late(&mut self, id: ConnId, out: &mut EffectQueue) {
        if self.sessions.get(id).is_some_and(|s| matches!(s.job, Some(Job::Probe))) {
            self.lost(id, Outcome::TimedOut, "a probe without an answer", out);
        }
    }

    /// Changes the priority of what runs, by a second session.
    pub fn set_terms(&mut self, attempt: AttemptId, terms: AttemptOptions, out: &mut EffectQueue) {
        let Some(s) = self.sessions.carrier(attempt).and_then(|id| self.sessions.get(id)) else { return };
        let Some((pid, _)) = s.backend.key() else { return };
        let text = format!("SELECT wheelfield.set_priority({pid}, {})", terms.priority);
        let Some(id) = self.pools.get_mut(s.engine).and_then(|p| p.idle.pop()) else { return };
        out.saw(Coverage::TermsSet);
        self.sessions.put_own(id, Job::Aside, &text, out);
    }
}
