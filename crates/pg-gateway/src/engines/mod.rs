//! The engine side: opens, reuses and closes sessions, runs attempts and probes on them, and cancels
//! attempts. Reports to the dispatcher by [`EngineEvent`]s; clients are known only by connection ID.

mod attempt_queue;
mod blocked_connects;
mod cancellation;
mod probes;
mod timeouts;

use crate::cancels::CancelRequests;
use crate::coverage::Coverage;
use crate::effect_queue::{Effect, EffectQueue};
use crate::engine_events::{load_report, EngineEvent, ReadProgress, ReadyAttempt};
use crate::engine_sessions::{Job, ReadOutcome, Sessions};
use crate::fault_injection::FaultInjection;
use crate::pools::Pools;
use crate::timer_event::TimerEvent;
use bytes::BytesMut;
use std::collections::VecDeque;
use std::net::SocketAddr;
use tracing::debug;
use wheelfield::interface::{AttemptUpdate, EngineId, LoadReport, Outcome};
use wheelfield_config::Config;
use wheelfield_driver::AttemptId;
use wheelfield_pg::backend::{self, BackendEvent, QUERY_CANCELED};
use wheelfield_sans_io::ConnId;

/// Timeout for a discarded answer, in microseconds, where engines do not support cancellation: the query
/// runs to its end. Where they do, an attempt counts as ended after `timing.cancel` without confirmation;
/// its session is closed then, which ends the query.
const DISCARD_TIMEOUT_UNCANCELLED_US: i64 = 60_000_000;

/// All engine sessions, pools and cancel requests.
#[derive(Debug)]
pub(crate) struct Engines {
    pub sessions: Sessions,
    pub pools: Pools,
    cancel_requests: CancelRequests,
    events: VecDeque<EngineEvent>,
    max_sessions: usize,
    cancellation: bool,
    timing: wheelfield_config::Timing,
    /// An injected fault.
    fault: Option<FaultInjection>,
}

impl Engines {
    pub fn new(config: &Config, fault: Option<FaultInjection>) -> Engines {
        Engines {
            sessions: Sessions::new(config),
            pools: Pools::default(),
            cancel_requests: CancelRequests::new(),
            events: VecDeque::new(),
            max_sessions: config.limits.max_engine_sessions,
            cancellation: config.settings.cancellation,
            timing: config.timing,
            fault: fault.filter(|_| cfg!(feature = "planted")),
        }
    }

    pub fn next_event(&mut self) -> Option<EngineEvent> {
        self.events.pop_front()
    }

    /// Applies an entry of the engine list.
    pub fn set_engine(&mut self, engine: EngineId, address: SocketAddr, is_up: bool, out: &mut EffectQueue) {
        for id in self.pools.set_engine(engine, address, is_up) {
            self.close_session(id, out);
        }
    }

    // --- attempts ---

    /// Assigns an idle session to an attempt, or opens one.
    pub fn start_attempt(&mut self, attempt: AttemptId, engine: EngineId, out: &mut EffectQueue) {
        let Some(pool) = self.pools.get_mut(engine) else {
            return self.push_ended(attempt, engine, Outcome::ConnectFailed);
        };
        while let Some(id) = pool.idle.pop() {
            if self.sessions.get(id).is_some_and(|session| !session.is_closing()) {
                out.record(Coverage::SessionReused);
                return self.push_ready(ReadyAttempt { attempt, engine, session: id });
            }
        }
        if pool.sessions >= self.max_sessions {
            out.record(Coverage::SessionLimitReached);
            debug!(query = attempt.query.0, engine = engine.0, "session limit of the engine reached");
            return self.push_ended(attempt, engine, Outcome::Full);
        }
        pool.waiting.push_back(attempt);
        self.open_session(engine, out);
    }

    /// Reports that the session of an attempt is ready. The session is reserved until the attempt is queued.
    pub fn push_ready(&mut self, ready: ReadyAttempt) {
        self.events.push_back(EngineEvent::SessionReady(ready));
    }

    fn push_ended(&mut self, attempt: AttemptId, engine: EngineId, outcome: Outcome) {
        let report = LoadReport::default();
        self.events.push_back(EngineEvent::Ended { attempt, engine, outcome, report, reason: None });
    }

    pub fn open_session(&mut self, engine: EngineId, out: &mut EffectQueue) {
        let Some(pool) = self.pools.get_mut(engine) else { return };
        (pool.sessions, pool.connecting) = (pool.sessions + 1, pool.connecting + 1);
        let address = pool.address;
        out.record(Coverage::SessionOpened);
        let id = self.sessions.open(engine, out);
        if let Some(session) = self.sessions.get_mut(id) {
            out.reset_timer(
                &mut session.timer,
                self.timing.connect_timeout.0,
                TimerEvent::EngineConnectTimeout(id),
            );
        }
        out.push(Effect::Connect(id, address));
    }

    /// Fails the waiting probe and the first waiting attempt after a session could not be opened.
    fn fail_waiting(&mut self, engine: EngineId, outcome: Outcome) {
        let Some(pool) = self.pools.get_mut(engine) else { return };
        if std::mem::take(&mut pool.is_probe_waiting) {
            self.events.push_back(EngineEvent::ProbeEnded(engine, outcome, LoadReport::default()));
        }
        if pool.waiting.len() > pool.connecting {
            if let Some(attempt) = pool.waiting.pop_front() {
                self.push_ended(attempt, engine, outcome);
            }
        }
    }

    /// Gives an idle session to the next waiting probe or attempt, or returns it to the pool.
    pub fn release_session(&mut self, id: ConnId, out: &mut EffectQueue) {
        let ignore_cancel = self.fault == Some(FaultInjection::ReuseDuringCancel);
        let Some(session) = self.sessions.get_mut(id).filter(|session| session.is_free(ignore_cancel)) else {
            return;
        };
        out.cancel_timer(&mut session.timer);
        session.idle_since = out.now;
        let engine = session.engine;
        let Some(pool) = self.pools.get_mut(engine) else { return self.close_session(id, out) };
        if std::mem::take(&mut pool.is_probe_waiting) {
            return self.write_probe(id, out);
        }
        if let Some(attempt) = pool.waiting.pop_front() {
            return self.push_ready(ReadyAttempt { attempt, engine, session: id });
        }
        if pool.is_up || self.fault == Some(FaultInjection::SendToDraining) {
            pool.idle.push(id);
        } else {
            self.close_session(id, out);
        }
    }

    pub fn connected(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session) = self.sessions.get_mut(id) {
            session.buffer.flush(id, out);
            if let Some(pool) = self.pools.get_mut(session.engine) {
                pool.connect_blocked_since = None;
            }
        }
    }

    pub fn read(&mut self, id: ConnId, sink: Option<&mut BytesMut>, out: &mut EffectQueue) -> ReadProgress {
        match self.sessions.read(id, sink, out) {
            ReadOutcome::Incomplete => ReadProgress::Done,
            ReadOutcome::OutputFull(client) => ReadProgress::OutputFull(client),
            ReadOutcome::Lost(reason) => {
                self.fail_session(id, Outcome::Reset, &reason, out);
                ReadProgress::Done
            }
            ReadOutcome::Event(event) => {
                self.handle_backend_event(id, event, out);
                ReadProgress::MorePending
            }
        }
    }

    #[expect(clippy::too_many_lines, reason = "to be split: docs/ROADMAP.md lists it")]
    fn handle_backend_event(&mut self, id: ConnId, event: BackendEvent, out: &mut EffectQueue) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let engine = session.engine;
        match event {
            BackendEvent::Pending => {}
            BackendEvent::Started => {
                if let Some(pool) = self.pools.get_mut(engine) {
                    pool.connecting = pool.connecting.saturating_sub(1);
                }
                self.release_session(id, out);
            }
            BackendEvent::StartupFailed { sqlstate, message } => {
                let outcome = if sqlstate.starts_with("53") { Outcome::Full } else { Outcome::ConnectFailed };
                self.fail_session(id, outcome, &format!("{sqlstate} {message}"), out);
            }
            BackendEvent::ResponseStarted => match session.job {
                Some(Job::Attempt { id: attempt, client: Some(client) }) => {
                    self.events.push_back(EngineEvent::AnswerReady(id, attempt, client));
                }
                _ => self.discard_answer(id, out),
            },
            BackendEvent::QueryStatus(note) => {
                if let Some(Job::Attempt { id: attempt, .. }) = session.job {
                    let update = match note {
                        backend::QueryStatus::Progress(share) => AttemptUpdate::Progress(share),
                        backend::QueryStatus::Spills(mb) => AttemptUpdate::Spills(mb),
                        backend::QueryStatus::WaitsForMemory => AttemptUpdate::WaitsForMemory,
                        backend::QueryStatus::WaitsForLoad => AttemptUpdate::WaitsForLoad,
                    };
                    self.events.push_back(EngineEvent::AttemptUpdated(attempt, update));
                }
            }
            BackendEvent::Completed { has_query_error, reusable } => match session.job.take() {
                Some(Job::Attempt { id: attempt, client }) => {
                    self.sessions.release_attempt(attempt);
                    self.events.push_back(EngineEvent::Served {
                        session: id,
                        attempt,
                        client,
                        has_query_error,
                        reusable,
                    });
                }
                job => {
                    if let Some(Job::Probe) = job {
                        let report = load_report(session.backend.load());
                        self.events.push_back(EngineEvent::ProbeEnded(engine, Outcome::Served, report));
                    }
                    self.finish_unit(id, reusable, out);
                }
            },
            BackendEvent::EngineError { sqlstate, message, reusable } => {
                let response_started = session.backend.response_started();
                let report = load_report(session.backend.load());
                let outcome = match sqlstate.as_str() {
                    "53300" | "57P03" if !response_started => Outcome::Full,
                    QUERY_CANCELED => Outcome::Cancelled,
                    _ => Outcome::Error,
                };
                out.record(if outcome == Outcome::Full {
                    Coverage::AttemptRejectedByEngine
                } else {
                    Coverage::AttemptFailedByEngine
                });
                match session.job.take() {
                    Some(Job::Attempt { id: attempt, .. }) => {
                        self.sessions.release_attempt(attempt);
                        let reason = Some(format!("{sqlstate} {message}"));
                        self.events.push_back(EngineEvent::Ended {
                            attempt,
                            engine,
                            outcome,
                            report,
                            reason,
                        });
                    }
                    Some(Job::Probe) => {
                        self.events.push_back(EngineEvent::ProbeEnded(engine, outcome, report))
                    }
                    Some(Job::Discarded) | None => {}
                }
                self.finish_unit(id, reusable, out);
            }
            BackendEvent::Discarded { reusable } => {
                let report = load_report(session.backend.load());
                if let Some(Job::Attempt { id: attempt, .. }) = session.job.take() {
                    self.sessions.release_attempt(attempt);
                    let outcome = Outcome::Cancelled;
                    self.events.push_back(EngineEvent::Ended {
                        attempt,
                        engine,
                        outcome,
                        report,
                        reason: None,
                    });
                }
                self.finish_unit(id, reusable, out);
            }
        }
    }

    /// Forwards an answer to its client from now on, beginning with the rows that were held back.
    pub fn begin_answer(&mut self, id: ConnId, sink: &mut BytesMut, out: &mut EffectQueue) {
        let stall = self.timing.answer_stall_timeout.0;
        if let Some(session) = self.sessions.get_mut(id) {
            session.backend.start_response(sink);
            out.reset_timer(&mut session.timer, stall, TimerEvent::AnswerStallCheck(id));
        }
    }

    /// Ends a unit. The session is kept if it is reusable.
    pub fn finish_unit(&mut self, id: ConnId, reusable: bool, out: &mut EffectQueue) {
        if let Some(session) = self.sessions.get_mut(id) {
            out.cancel_timer(&mut session.timer);
        }
        if reusable {
            self.release_session(id, out);
        } else {
            out.record(Coverage::UncleanSessionClosed);
            self.close_session(id, out);
        }
    }

    /// Handles a session that was lost or could not be opened.
    pub fn fail_session(&mut self, id: ConnId, outcome: Outcome, reason: &str, out: &mut EffectQueue) {
        let Some(session) = self.sessions.get_mut(id) else { return };
        let (engine, starting) = (session.engine, session.backend.is_starting());
        let job = session.job;
        // An error that the engine sent before it closed the connection is more specific than the reset.
        let outcome = match session.backend.take_engine_error() {
            Some((sqlstate, _)) if outcome == Outcome::Reset && sqlstate != QUERY_CANCELED => Outcome::Error,
            _ => outcome,
        };
        let (is_mid_row, unsent) = (session.backend.is_mid_row(), session.has_unwritten_attempt());
        out.record(match job {
            _ if starting => Coverage::SessionLostStarting,
            None => Coverage::SessionLostIdle,
            _ if is_mid_row => Coverage::SessionLostDuringRow,
            _ if unsent => Coverage::SessionLostUnsent,
            _ => Coverage::SessionLostRunning,
        });
        self.close_session(id, out);
        if starting {
            debug!(engine = engine.0, reason, "engine session failed to start");
            let outcome = if outcome == Outcome::Full { Outcome::Full } else { Outcome::ConnectFailed };
            return self.fail_waiting(engine, outcome);
        }
        match job {
            Some(Job::Attempt { id: attempt, client }) => {
                if let Some(client) = client.filter(|_| is_mid_row) {
                    self.events.push_back(EngineEvent::RowInterrupted(client));
                }
                let (report, reason) = (LoadReport::default(), Some(reason.to_string()));
                self.events.push_back(EngineEvent::Ended { attempt, engine, outcome, report, reason });
            }
            Some(Job::Probe) => {
                self.events.push_back(EngineEvent::ProbeEnded(engine, outcome, LoadReport::default()))
            }
            Some(Job::Discarded) | None => {}
        }
    }

    /// Handles a broken connection.
    pub fn handle_broken(&mut self, id: ConnId, writing: bool, reason: &str, out: &mut EffectQueue) {
        let Some(session) = self.sessions.get(id) else { return };
        let unsent = session.backend.is_starting() || (writing && session.has_unwritten_attempt());
        self.fail_session(id, if unsent { Outcome::ConnectFailed } else { Outcome::Reset }, reason, out);
    }

    /// Handles that bytes were written. Returns the attempt whose first byte is among them.
    pub fn bytes_written(&mut self, id: ConnId, count: usize) -> Option<AttemptId> {
        self.sessions.bytes_written(id, count)
    }

    /// Closes a session without reporting the outcome of its job.
    fn close_session(&mut self, id: ConnId, out: &mut EffectQueue) {
        if let Some(session) = self.sessions.remove(id, out) {
            self.pools.remove_session(session.engine, id, session.backend.is_starting());
        }
    }
}
